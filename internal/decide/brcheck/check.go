// Package brcheck decides whether resources are well formed.
//
// It looks at each resource by itself and tells all faults at once, each with
// the path of its field. What depends on other resources is checked by
// brconfig.Snapshot.Apply and brselect.
//
// # Usage
//
//	err := brcheck.Changes(changes)
//	if invalid, ok := errors.Into[brcheck.ErrInvalid](err); ok {
//		for _, fault := range invalid.Faults() { … }
//	}
package brcheck

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// maxFaults bounds the faults that are told at once.
const maxFaults = 100

// Fault is what is wrong with one field.
type Fault struct {
	path    string
	message string
}

// Path returns kind, name and field.
func (f Fault) Path() string { return f.path }

// Message returns what is wrong.
func (f Fault) Message() string { return f.message }

// ErrInvalid says what is wrong with resources.
type ErrInvalid struct {
	faults []Fault
}

// Error returns all faults, a line each.
func (e ErrInvalid) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.path+": "+f.message)
	}
	return strings.Join(lines, "\n")
}

// Faults returns the faults. The caller must not change the slice.
func (e ErrInvalid) Faults() []Fault { return e.faults }

// IsErrInvalid reports whether err is or wraps ErrInvalid.
func IsErrInvalid(err error) bool {
	_, ok := errors.Into[ErrInvalid](err)
	return ok
}

// Changes returns ErrInvalid with the faults of all resources that are put.
func Changes(changes []brconfig.Change) error {
	c := &checker{}
	for _, change := range changes {
		if resource, isPut := change.Resource().Get(); isPut {
			c.at = change.Reference().String()
			c.resource(resource)
		}
	}
	if len(c.faults) == 0 {
		return nil
	}
	return ErrInvalid{faults: c.faults[:min(len(c.faults), maxFaults)]}
}

type checker struct {
	at     string
	faults []Fault
}

func (c *checker) fault(field, format string, arguments ...any) {
	c.faults = append(c.faults, Fault{path: c.at + "." + field, message: fmt.Sprintf(format, arguments...)})
}

func (c *checker) require(holds bool, field, format string, arguments ...any) {
	if !holds {
		c.fault(field, format, arguments...)
	}
}

func (c *checker) resource(resource brconfig.Resource) {
	c.meta(resource)
	switch r := resource.(type) {
	case brconfig.Region:
		c.require(r.Capacity() >= 0, "spec.capacity", "must not be negative")
	case brconfig.Link:
		c.require(r.BytesPerSecond() > 0, "spec.bytesPerSecond", "must be more than 0")
		c.require(r.From() != r.To(), "spec.to", "must be another region than from")
	case brconfig.Block:
		c.block(r)
	case brconfig.VM:
		c.address("spec.callerAddress", r.CallerAddress())
		c.address("spec.peerAddress", r.PeerAddress())
	case brconfig.Organisation:
		c.require(r.Weight() >= 1 && r.Weight() <= maxWeight, "spec.weight", "must be 1 to %d", maxWeight)
		c.require(r.KeyAge() > 0, "spec.keyAge", "must be more than 0")
	case brconfig.Key:
		c.hash("spec.hash", r.Hash())
	case brconfig.Unit:
		c.unit(r)
	case brconfig.Contract:
		c.contract(r)
	case brconfig.Server:
		c.address("spec.address", r.Address())
		c.require(r.Slots() >= 1 && r.Slots() <= maxSlots, "spec.slots", "must be 1 to %d", maxSlots)
	case brconfig.Route:
		c.route(r)
	case brconfig.Team:
		c.require(r.MaxObjects() >= 1, "spec.maxObjects", "must be at least 1")
		c.require(r.WritesPerMinute() >= 1, "spec.writesPerMinute", "must be at least 1")
	case brconfig.Token:
		c.hash("spec.hash", r.Hash())
		c.role(r.Role())
	case brconfig.Selector:
		c.selector(r)
	case brconfig.Move:
		c.move(r)
	case brconfig.Drain:
		c.drain(r)
	}
}
