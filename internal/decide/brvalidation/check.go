// Package brvalidation validates the fields of resources and the quotas of teams.
//
// CheckChanges validates each resource on its own and reports all field errors at once,
// each with the path of its field. Constraints between resources, such as references
// and conflicting selectors, are checked by brconfig.Snapshot.Apply and brselector.
// CheckQuotas checks how many resources a team owns.
//
// # Usage
//
//	err := brvalidation.CheckChanges(changes)
//	if invalid, ok := errors.Into[brvalidation.ErrInvalid](err); ok {
//		for _, fieldError := range invalid.FieldErrors() { … }
//	}
package brvalidation

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// maxFieldErrors limits the number of field errors in one ErrInvalid.
const maxFieldErrors = 100

// FieldError is a validation error of one field.
type FieldError struct {
	path    string
	message string
}

// Path returns the kind and the name of the resource and the path of the field,
// such as key/k.spec.hash.
func (f FieldError) Path() string { return f.path }

// Message returns the constraint that the field violates.
func (f FieldError) Message() string { return f.message }

// ErrInvalid is returned when resources fail validation.
type ErrInvalid struct {
	fieldErrors []FieldError
}

// Error returns all field errors, one per line.
func (e ErrInvalid) Error() string {
	lines := make([]string, 0, len(e.fieldErrors))
	for _, f := range e.fieldErrors {
		lines = append(lines, f.path+": "+f.message)
	}
	return strings.Join(lines, "\n")
}

// FieldErrors returns the validation errors. The caller must not modify the slice.
func (e ErrInvalid) FieldErrors() []FieldError { return e.fieldErrors }

// IsErrInvalid reports whether err is or wraps ErrInvalid.
func IsErrInvalid(err error) bool {
	_, ok := errors.Into[ErrInvalid](err)
	return ok
}

// CheckChanges validates all resources that the changes create or update. It returns
// ErrInvalid if any of them has a field error.
func CheckChanges(changes []brconfig.Change) error {
	c := &checker{}
	for _, change := range changes {
		if resource, isPut := change.Resource().Get(); isPut {
			c.resourcePath = change.Reference().String()
			c.resource(resource)
		}
	}
	if len(c.fieldErrors) == 0 {
		return nil
	}
	return ErrInvalid{fieldErrors: c.fieldErrors[:min(len(c.fieldErrors), maxFieldErrors)]}
}

// checker validates resources and collects their field errors.
type checker struct {
	resourcePath string
	fieldErrors  []FieldError
}

func (c *checker) addFieldError(field, format string, arguments ...any) {
	c.fieldErrors = append(c.fieldErrors, FieldError{path: c.resourcePath + "." + field, message: fmt.Sprintf(format, arguments...)})
}

func (c *checker) require(holds bool, field, format string, arguments ...any) {
	if !holds {
		c.addFieldError(field, format, arguments...)
	}
}

func (c *checker) resource(resource brconfig.Resource) {
	c.meta(resource)
	switch r := resource.(type) {
	case brconfig.Region:
		c.require(r.Capacity() >= 0, "spec.capacity", "must not be negative")
	case brconfig.Link:
		c.require(r.BytesPerSecond() > 0, "spec.bytesPerSecond", "must be greater than 0")
		c.require(r.From() != r.To(), "spec.to", "must differ from spec.from")
	case brconfig.Block:
		c.block(r)
	case brconfig.VM:
		c.address("spec.callerAddress", r.CallerAddress())
		c.address("spec.peerAddress", r.PeerAddress())
	case brconfig.Organisation:
		c.require(r.Weight() >= 1 && r.Weight() <= maxWeight, "spec.weight", "must be between 1 and %d", maxWeight)
		c.require(r.MaxKeyAge() > 0, "spec.keyAge", "must be greater than 0")
	case brconfig.Key:
		c.hash("spec.hash", r.Hash())
	case brconfig.Unit:
		c.unit(r)
	case brconfig.Contract:
		c.contract(r)
	case brconfig.Server:
		c.address("spec.address", r.Address())
		c.require(r.Slots() >= 1 && r.Slots() <= maxSlots, "spec.slots", "must be between 1 and %d", maxSlots)
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
