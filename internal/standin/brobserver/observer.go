// Package brobserver stands in for the observer of duties in tests that look at
// something else.
//
// # Usage
//
//	group := brduty.NewGroup(t.Context(), clock, brobserver.Ignore{})
package brobserver

// Ignore is an observer that does nothing.
type Ignore struct{}

// DutyStalled does nothing.
func (Ignore) DutyStalled(string, int) {}

// DutyPanicked does nothing.
func (Ignore) DutyPanicked(string, any, []byte) {}
