// Package brdivision provides how limits are divided: over failure domains by
// the Division, and within a failure domain by the slots of its Row. Both are
// kept in the platform's table.
//
// A division holds for all limits alike. It counts parts, so that it depends
// neither on the number of organisations nor on what their contracts say.
//
// # Usage
//
//	division, err := brdivision.NewDivision().With("este-a", brdivision.Whole/2)
//	row := brdivision.NewRow(brdivision.Whole/2, brdivision.NewSlot(brdivision.PoolSlot, brdivision.Whole/2))
package brdivision

import (
	"maps"

	"github.com/go-faster/errors"
)

// Parts counts parts of a limit.
type Parts int64

// Whole is the number of parts of which each limit consists.
const Whole Parts = 1 << 20

// Division says how many parts each failure domain has. It is immutable; its
// sum is never above Whole.
type Division struct {
	domains map[string]Parts
}

// NewDivision returns the division in which no domain has a part.
func NewDivision() Division {
	return Division{}
}

// With returns the division with the parts of one domain. It returns an error
// where the sum would be above Whole.
func (d Division) With(domain string, parts Parts) (Division, error) {
	if parts < 0 || parts > d.Free()+d.domains[domain] {
		return d, errors.Errorf("domain %q can't have %d parts: %d are free", domain, parts, d.Free()+d.domains[domain])
	}
	domains := maps.Clone(d.domains)
	if domains == nil {
		domains = map[string]Parts{}
	}
	domains[domain] = parts
	return Division{domains: domains}, nil
}

// Parts returns the parts of a domain.
func (d Division) Parts(domain string) Parts { return d.domains[domain] }

// Free returns the parts that no domain has.
func (d Division) Free() Parts {
	free := Whole
	for _, parts := range d.domains {
		free -= parts
	}
	return free
}

// Domains returns the parts by domain. The caller must not change the map.
func (d Division) Domains() map[string]Parts { return d.domains }

// Even returns the parts of the domain at an index if all of count have the
// same; what remains goes to the first ones.
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
