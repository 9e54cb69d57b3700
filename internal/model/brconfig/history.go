package brconfig

import "slices"

const (
	// maxHistoryGenerations is the maximum number of generations whose changes a snapshot records.
	maxHistoryGenerations = 256
	// maxHistoryReferences is the maximum number of references over all recorded generations.
	maxHistoryReferences = 4096
)

// history records which resources the most recent generations changed, oldest
// first. It is immutable.
type history struct {
	entries    []historyEntry
	references int
}

type historyEntry struct {
	generation uint64
	references []Reference
}

// with returns the history extended by one generation. The oldest entries are
// dropped once a limit is exceeded.
func (h history) with(generation uint64, changes []Change) history {
	references := make([]Reference, 0, len(changes))
	for _, c := range changes {
		references = append(references, c.reference)
	}
	entries := append(h.entries[:len(h.entries):len(h.entries)], historyEntry{generation: generation, references: references})
	total := h.references + len(references)
	for len(entries) > 0 && (len(entries) > maxHistoryGenerations || total > maxHistoryReferences) {
		total -= len(entries[0].references)
		entries = entries[1:]
	}
	return history{entries: entries, references: total}
}

// ChangedSince returns the resources that were put or deleted after the given
// generation, without duplicates. It returns false if the history does not reach
// back that far; in that case any resource may have changed.
func (s *Snapshot) ChangedSince(generation uint64) ([]Reference, bool) {
	if generation == s.generation {
		return nil, true
	}
	first := slices.IndexFunc(s.history.entries, func(e historyEntry) bool { return e.generation == generation+1 })
	if first < 0 {
		return nil, false
	}
	seen := map[Reference]struct{}{}
	changed := []Reference{}
	for _, e := range s.history.entries[first:] {
		for _, r := range e.references {
			if _, found := seen[r]; !found {
				seen[r] = struct{}{}
				changed = append(changed, r)
			}
		}
	}
	return changed, true
}

// KindsChangedSince reports whether a resource of one of the kinds may have changed
// after the given generation.
func (s *Snapshot) KindsChangedSince(generation uint64, kinds ...Kind) bool {
	changed, known := s.ChangedSince(generation)
	if !known {
		return true
	}
	return slices.ContainsFunc(changed, func(r Reference) bool { return slices.Contains(kinds, r.kind) })
}
