// Package brobserver provides an observer of duties that ignores all events, for
// tests that don't examine them.
//
// # Usage
//
//	group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
package brobserver

// Nop is an observer that does nothing.
type Nop struct{}

// DutyStalled implements brduty.Observer.
func (Nop) DutyStalled(string, int) {}

// DutyPanicked implements brduty.Observer.
func (Nop) DutyPanicked(string, any, []byte) {}
