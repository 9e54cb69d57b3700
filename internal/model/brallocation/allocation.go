// Package brallocation provides the allocation of rate limits: to failure domains by an
// Allocation, and within a failure domain by the slots of its Row. Both are stored
// in the platform's table.
//
// One allocation applies to the limits of all organisations. It counts parts rather than
// units, so that it depends neither on the number of organisations nor on their
// contracts.
//
// # Usage
//
//	allocation, err := brallocation.NewAllocation().With("este-a", brallocation.Whole/2)
//	row, err := brallocation.NewRow(brallocation.Whole/2, brallocation.NewSlot(brallocation.PoolSlot, brallocation.Whole/2))
package brallocation

import (
	"maps"

	"github.com/go-faster/errors"
)

// Parts is a number of equal parts of a limit, of which Whole make up the limit.
type Parts int64

// Whole is the number of parts into which each limit is divided.
const Whole Parts = 1 << 20

// Allocation is the distribution of parts over failure domains. It is immutable; its
// sum never exceeds Whole.
type Allocation struct {
	domains map[string]Parts
}

// NewAllocation returns an allocation in which no domain has any parts.
func NewAllocation() Allocation {
	return Allocation{}
}

// With returns the allocation with the parts of one domain replaced. It returns an
// error if the sum would exceed Whole.
func (a Allocation) With(domain string, parts Parts) (Allocation, error) {
	if parts < 0 || parts > a.Free()+a.domains[domain] {
		return a, errors.Errorf("domain %q can't be allocated %d parts: %d are free", domain, parts, a.Free()+a.domains[domain])
	}
	domains := maps.Clone(a.domains)
	if domains == nil {
		domains = map[string]Parts{}
	}
	domains[domain] = parts
	return Allocation{domains: domains}, nil
}

// Parts returns the parts of a domain.
func (a Allocation) Parts(domain string) Parts { return a.domains[domain] }

// Free returns the parts that are not allocated to any domain.
func (a Allocation) Free() Parts {
	free := Whole
	for _, parts := range a.domains {
		free -= parts
	}
	return free
}

// Domains returns the parts by domain. The caller must not modify the map.
func (a Allocation) Domains() map[string]Parts { return a.domains }

// Even returns the parts of the domain at an index if whole is divided evenly
// among count domains; the first domains get one more part each of the remainder.
func Even(whole Parts, index, count int) Parts {
	if count < 1 || index < 0 || index >= count {
		return 0
	}
	parts := whole / Parts(count)
	if Parts(index) < whole%Parts(count) {
		parts++
	}
	return parts
}
