package brshare

import "bergamotroad.example/bergamotroad/internal/model/brdivision"

// Layout is how a failure domain's parts ought to be divided.
type Layout struct {
	parts  Parts
	floors int
}

// NewLayout returns the layout of a domain that ought to have the target, with
// a floor for each of its VMs. The domain grows only by parts that no domain
// has: those of another one become free after it has shrunk.
func NewLayout(division brdivision.Division, domain string, target Parts, floors int) Layout {
	own := division.Parts(domain)
	parts := target
	if target > own {
		parts = own + min(target-own, division.Free())
	}
	return Layout{parts: parts, floors: max(floors, 1)}
}

// Parts returns the parts of the domain.
func (l Layout) Parts() Parts { return l.parts }

// Floors returns the number of floors.
func (l Layout) Floors() int { return l.floors }
