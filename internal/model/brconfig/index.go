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
	referenceCounts *immutable.SortedMap[Reference, int] // number of references to each resource
	teamCounts      *immutable.SortedMap[string, int]    // number of resources of each team
	owners          *immutable.SortedMap[Claim, Reference]
}

func newIndex() index {
	return index{
		referenceCounts: immutable.NewSortedMap[Reference, int](referenceComparer{}),
		teamCounts:      immutable.NewSortedMap[string, int](nil),
		owners:          immutable.NewSortedMap[Claim, Reference](claimComparer{}),
	}
}

type referenceComparer struct{}

// Compare implements immutable.Comparer; references are ordered by kind, then name.
func (referenceComparer) Compare(a, b Reference) int {
	if c := strings.Compare(string(a.kind), string(b.kind)); c != 0 {
		return c
	}
	return strings.Compare(a.name, b.name)
}

type claimComparer struct{}

// Compare implements immutable.Comparer; unique values are ordered by sort, then value.
func (claimComparer) Compare(a, b Claim) int {
	if c := strings.Compare(a.what, b.what); c != 0 {
		return c
	}
	return strings.Compare(a.value, b.value)
}

// indexUpdate accumulates the index updates of a set of changes, so that a counter
// that many resources affect is written only once.
type indexUpdate struct {
	referenceCounts map[Reference]int
	teamCounts      map[string]int
	removed         map[Claim]Reference
	added           []ownedClaim
}

type ownedClaim struct {
	claim Claim
	owner Reference
}

func newIndexUpdate() *indexUpdate {
	return &indexUpdate{referenceCounts: map[Reference]int{}, teamCounts: map[string]int{}, removed: map[Claim]Reference{}}
}

func (u *indexUpdate) remove(resource Resource) {
	for _, r := range resource.References() {
		u.referenceCounts[r]--
	}
	for _, c := range claimsOf(resource) {
		u.removed[c] = NewReference(resource.Kind(), resource.Name())
	}
	u.teamCounts[resource.Team()]--
}

func (u *indexUpdate) add(resource Resource) {
	for _, r := range resource.References() {
		u.referenceCounts[r]++
	}
	owner := NewReference(resource.Kind(), resource.Name())
	for _, c := range claimsOf(resource) {
		u.added = append(u.added, ownedClaim{claim: c, owner: owner})
	}
	u.teamCounts[resource.Team()]++
}

// apply returns the index with the updates applied, or ErrClaimed.
func (x index) apply(u *indexUpdate) (index, error) {
	x.referenceCounts = addCounts(x.referenceCounts, u.referenceCounts)
	x.teamCounts = addCounts(x.teamCounts, u.teamCounts)
	claims := x.owners
	for claim, owner := range u.removed {
		if current, ok := claims.Get(claim); ok && current == owner {
			claims = claims.Delete(claim)
		}
	}
	for _, c := range u.added {
		if holder, ok := claims.Get(c.claim); ok && holder != c.owner {
			return index{}, ErrClaimed{claim: c.claim, by: c.owner, holder: holder}
		}
		claims = claims.Set(c.claim, c.owner)
	}
	x.owners = claims
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
	return broption.Of(s.index.owners.Get(claim))
}

// Owned returns the number of resources that a team owns.
func (s *Snapshot) Owned(team string) int {
	count, _ := s.index.teamCounts.Get(team)
	return count
}
