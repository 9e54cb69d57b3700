package brconfig

import (
	"strings"

	"github.com/benbjohnson/immutable"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// Claim is something that only one resource may have, such as the prefix of a block.
type Claim struct {
	what  string
	value string
}

// NewClaim returns the claim of a value; what tells apart values of different sorts.
func NewClaim(what, value string) Claim {
	return Claim{what: what, value: value}
}

// String returns what is claimed and its value.
func (c Claim) String() string { return c.what + " " + c.value }

// claimer is a resource that claims something.
type claimer interface {
	Claims() []Claim
}

func claimsOf(resource Resource) []Claim {
	if c, ok := resource.(claimer); ok {
		return c.Claims()
	}
	return nil
}

// index answers questions about all resources at a cost that does not grow
// with their number. It is immutable; indexes of successive generations share
// what did not change.
type index struct {
	needed *immutable.SortedMap[Reference, int] // how many references lead to a resource
	owned  *immutable.SortedMap[string, int]    // resources of a team
	claims *immutable.SortedMap[Claim, Reference]
}

func newIndex() index {
	return index{
		needed: immutable.NewSortedMap[Reference, int](referenceOrder{}),
		owned:  immutable.NewSortedMap[string, int](nil),
		claims: immutable.NewSortedMap[Claim, Reference](claimOrder{}),
	}
}

type referenceOrder struct{}

// Compare orders references by kind and name.
func (referenceOrder) Compare(a, b Reference) int {
	if c := strings.Compare(string(a.kind), string(b.kind)); c != 0 {
		return c
	}
	return strings.Compare(a.name, b.name)
}

type claimOrder struct{}

// Compare orders claims by what is claimed and value.
func (claimOrder) Compare(a, b Claim) int {
	if c := strings.Compare(a.what, b.what); c != 0 {
		return c
	}
	return strings.Compare(a.value, b.value)
}

// alteration gathers what one change does to an index, so that a count that
// many resources touch is written once.
type alteration struct {
	needed map[Reference]int
	owned  map[string]int
	lost   map[Claim]Reference
	gained []claimOf
}

type claimOf struct {
	claim Claim
	owner Reference
}

func newAlteration() *alteration {
	return &alteration{needed: map[Reference]int{}, owned: map[string]int{}, lost: map[Claim]Reference{}}
}

func (a *alteration) remove(resource Resource) {
	for _, r := range resource.References() {
		a.needed[r]--
	}
	for _, c := range claimsOf(resource) {
		a.lost[c] = NewReference(resource.Kind(), resource.Name())
	}
	a.owned[resource.Team()]--
}

func (a *alteration) add(resource Resource) {
	for _, r := range resource.References() {
		a.needed[r]++
	}
	owner := NewReference(resource.Kind(), resource.Name())
	for _, c := range claimsOf(resource) {
		a.gained = append(a.gained, claimOf{claim: c, owner: owner})
	}
	a.owned[resource.Team()]++
}

// with returns the index after an alteration, or ErrClaimed.
func (x index) with(a *alteration) (index, error) {
	x.needed = addCounts(x.needed, a.needed)
	x.owned = addCounts(x.owned, a.owned)
	claims := x.claims
	for claim, owner := range a.lost {
		if current, ok := claims.Get(claim); ok && current == owner {
			claims = claims.Delete(claim)
		}
	}
	for _, c := range a.gained {
		if holder, ok := claims.Get(c.claim); ok && holder != c.owner {
			return index{}, ErrClaimed{claim: c.claim, by: c.owner, holder: holder}
		}
		claims = claims.Set(c.claim, c.owner)
	}
	x.claims = claims
	return x, nil
}

func addCounts[K comparable](counts *immutable.SortedMap[K, int], by map[K]int) *immutable.SortedMap[K, int] {
	for key, change := range by {
		if change == 0 {
			continue
		}
		count, _ := counts.Get(key)
		if count += change; count == 0 {
			counts = counts.Delete(key)
			continue
		}
		counts = counts.Set(key, count)
	}
	return counts
}

// Holder returns the resource that has a claim.
func (s *Snapshot) Holder(claim Claim) broption.Option[Reference] {
	return broption.Of(s.index.claims.Get(claim))
}

// Owned returns how many resources a team owns.
func (s *Snapshot) Owned(team string) int {
	count, _ := s.index.owned.Get(team)
	return count
}
