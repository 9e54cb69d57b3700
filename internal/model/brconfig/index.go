package brconfig

import (
	"strings"

	"github.com/benbjohnson/immutable"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// Claim is a value that at most one resource may have, such as the prefix of a block.
type Claim struct {
	what  string
	value string
}

// NewClaim returns a unique value. Values are compared only with others of the
// same what, such as "prefix".
func NewClaim(what, value string) Claim {
	return Claim{what: what, value: value}
}

// String implements fmt.Stringer.
func (c Claim) String() string { return c.what + " " + c.value }

// claimer is implemented by resources that have unique values.
type claimer interface {
	Claims() []Claim
}

func claimsOf(resource Resource) []Claim {
	if c, ok := resource.(claimer); ok {
		return c.Claims()
	}
	return nil
}

// index holds aggregates over all resources, so that lookups need no scan of the
// configuration. It is immutable; indexes of successive generations share
// unchanged nodes.
type index struct {
	needed *immutable.SortedMap[Reference, int] // number of references to each resource
	owned  *immutable.SortedMap[string, int]    // number of resources of each team
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

// Compare implements immutable.Comparer; references are ordered by kind, then name.
func (referenceOrder) Compare(a, b Reference) int {
	if c := strings.Compare(string(a.kind), string(b.kind)); c != 0 {
		return c
	}
	return strings.Compare(a.name, b.name)
}

type claimOrder struct{}

// Compare implements immutable.Comparer; unique values are ordered by sort, then value.
func (claimOrder) Compare(a, b Claim) int {
	if c := strings.Compare(a.what, b.what); c != 0 {
		return c
	}
	return strings.Compare(a.value, b.value)
}

// alteration accumulates the index updates of a set of changes, so that a counter
// that many resources affect is written only once.
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

// with returns the index with the updates applied, or ErrClaimed.
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

// Holder returns the resource that has the unique value.
func (s *Snapshot) Holder(claim Claim) broption.Option[Reference] {
	return broption.Of(s.index.claims.Get(claim))
}

// Owned returns the number of resources that a team owns.
func (s *Snapshot) Owned(team string) int {
	count, _ := s.index.owned.Get(team)
	return count
}
