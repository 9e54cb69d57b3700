package brevent

// Recorder records events on the timeline. Record never blocks; an event is
// dropped and counted if the timeline's ring is full.
type Recorder interface {
	// Record adds an event to the timeline.
	Record(event Event)
}
