// Package brobserver provides an observer of duties that ignores all events, for
// tests that don't examine them.
//
// # Usage
//
//	group := brduty.NewGroup(t.Context(), clock, brobserver.Ignore{})
package brobserver

// Ignore is an observer that does nothing.
type Ignore struct{}

// DutyStalled implements brduty.Observer.
func (Ignore) DutyStalled(string, int) {}

// DutyPanicked implements brduty.Observer.
func (Ignore) DutyPanicked(string, any, []byte) {}
