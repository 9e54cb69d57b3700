package brevent

// Recorder takes events for the time line. Record never waits; an event that
// finds the time line's ring full is counted as lost.
type Recorder interface {
	// Record puts an event on the time line.
	Record(event Event)
}
