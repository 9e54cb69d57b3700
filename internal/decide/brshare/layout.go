package brshare

import "bergamotroad.example/bergamotroad/internal/model/brallocation"

// Layout is the desired division of a failure domain's parts.
type Layout struct {
	parts  Parts
	floors int
}

// NewLayout returns the layout of a domain with the target number of parts and a floor
// for each of its VMs. A domain grows only by unallocated parts; those of another domain
// become available after that one has shrunk.
func NewLayout(allocation brallocation.Allocation, domain string, target Parts, floors int) Layout {
	current := allocation.Parts(domain)
	parts := target
	if target > current {
		parts = current + min(target-current, allocation.Free())
	}
	return Layout{parts: parts, floors: max(floors, 1)}
}

// Parts returns the number of parts that the domain should have.
func (l Layout) Parts() Parts { return l.parts }

// Floors returns the number of floors, at least 1.
func (l Layout) Floors() int { return l.floors }
