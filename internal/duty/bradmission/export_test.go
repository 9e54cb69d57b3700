package bradmission

// Stall makes the duty handle no messages until the channel is closed.
func (a *Admission) Stall(until <-chan struct{}) error {
	return a.duty.Queue().Send(message{operation: func(*handler) { <-until }})
}
