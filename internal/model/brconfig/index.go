package brconfig

import (
	"strings"

	"github.com/benbjohnson/immutable"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// UniqueValue is a value that at most one resource may have, such as the prefix of a block.
type UniqueValue struct {
	category string
	value    string
}

// NewUniqueValue returns a unique value. Values are compared only with others of the
// same category, such as "prefix".
func NewUniqueValue(category, value string) UniqueValue {
	return UniqueValue{category: category, value: value}
}

// String implements fmt.Stringer.
func (v UniqueValue) String() string { return v.category + " " + v.value }

// uniqueResource is implemented by resources that have unique values.
type uniqueResource interface {
	UniqueValues() []UniqueValue
}

func uniqueValuesOf(resource Resource) []UniqueValue {
	if r, ok := resource.(uniqueResource); ok {
		return r.UniqueValues()
	}
	return nil
}

// index holds aggregates over all resources, so that lookups need no scan of the
// configuration. It is immutable; indexes of successive generations share
// unchanged nodes.
type index struct {
	referenceCounts *immutable.SortedMap[Reference, int] // number of references to each resource
	teamCounts      *immutable.SortedMap[string, int]    // number of resources of each team
	owners          *immutable.SortedMap[UniqueValue, Reference]
}

func newIndex() index {
	return index{
		referenceCounts: immutable.NewSortedMap[Reference, int](referenceComparer{}),
		teamCounts:      immutable.NewSortedMap[string, int](nil),
		owners:          immutable.NewSortedMap[UniqueValue, Reference](uniqueValueComparer{}),
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

type uniqueValueComparer struct{}

// Compare implements immutable.Comparer; unique values are ordered by category, then value.
func (uniqueValueComparer) Compare(a, b UniqueValue) int {
	if c := strings.Compare(a.category, b.category); c != 0 {
		return c
	}
	return strings.Compare(a.value, b.value)
}

// indexUpdate accumulates the index updates of a set of changes, so that a counter
// that many resources affect is written only once.
type indexUpdate struct {
	referenceCounts map[Reference]int
	teamCounts      map[string]int
	removed         map[UniqueValue]Reference
	added           []ownedValue
}

type ownedValue struct {
	value UniqueValue
	owner Reference
}

func newIndexUpdate() *indexUpdate {
	return &indexUpdate{referenceCounts: map[Reference]int{}, teamCounts: map[string]int{}, removed: map[UniqueValue]Reference{}}
}

func (u *indexUpdate) remove(resource Resource) {
	for _, r := range resource.References() {
		u.referenceCounts[r]--
	}
	for _, v := range uniqueValuesOf(resource) {
		u.removed[v] = NewReference(resource.Kind(), resource.Name())
	}
	u.teamCounts[resource.Team()]--
}

func (u *indexUpdate) add(resource Resource) {
	for _, r := range resource.References() {
		u.referenceCounts[r]++
	}
	owner := NewReference(resource.Kind(), resource.Name())
	for _, v := range uniqueValuesOf(resource) {
		u.added = append(u.added, ownedValue{value: v, owner: owner})
	}
	u.teamCounts[resource.Team()]++
}

// apply returns the index with the updates applied, or ErrNotUnique.
func (x index) apply(u *indexUpdate) (index, error) {
	x.referenceCounts = addCounts(x.referenceCounts, u.referenceCounts)
	x.teamCounts = addCounts(x.teamCounts, u.teamCounts)
	owners := x.owners
	for value, owner := range u.removed {
		if current, ok := owners.Get(value); ok && current == owner {
			owners = owners.Delete(value)
		}
	}
	for _, v := range u.added {
		if owner, ok := owners.Get(v.value); ok && owner != v.owner {
			return index{}, ErrNotUnique{value: v.value, resource: v.owner, owner: owner}
		}
		owners = owners.Set(v.value, v.owner)
	}
	x.owners = owners
	return x, nil
}

func addCounts[K comparable](counts *immutable.SortedMap[K, int], deltas map[K]int) *immutable.SortedMap[K, int] {
	for key, delta := range deltas {
		if delta == 0 {
			continue
		}
		count, _ := counts.Get(key)
		if count += delta; count == 0 {
			counts = counts.Delete(key)
			continue
		}
		counts = counts.Set(key, count)
	}
	return counts
}

// UniqueValueOwner returns the resource that has the unique value.
func (s *Snapshot) UniqueValueOwner(value UniqueValue) broption.Option[Reference] {
	return broption.Of(s.index.owners.Get(value))
}

// CountOwnedBy returns the number of resources that a team owns.
func (s *Snapshot) CountOwnedBy(team string) int {
	count, _ := s.index.teamCounts.Get(team)
	return count
}
