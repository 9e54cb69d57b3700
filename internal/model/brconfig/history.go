package brconfig

import "slices"

const (
	// maxHistory bounds the generations whose changes a snapshot remembers.
	maxHistory = 256
	// maxHistoryReferences bounds the references of all of them together.
	maxHistoryReferences = 4096
)

// history is what the latest changes have altered, oldest first. It is immutable.
type history struct {
	entries    []historyEntry
	references int
}

type historyEntry struct {
	generation uint64
	references []Reference
}

// with returns the history with one more change; the oldest entries make room.
func (h history) with(generation uint64, changes []Change) history {
	references := make([]Reference, 0, len(changes))
	for _, c := range changes {
		references = append(references, c.reference)
	}
	entries := append(h.entries[:len(h.entries):len(h.entries)], historyEntry{generation: generation, references: references})
	total := h.references + len(references)
	for len(entries) > 0 && (len(entries) > maxHistory || total > maxHistoryReferences) {
		total -= len(entries[0].references)
		entries = entries[1:]
	}
	return history{entries: entries, references: total}
}

// ChangedSince returns the resources that were put or deleted after a
// generation, each once. It is false where the snapshot does not remember that
// far back; then every resource may have changed.
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
			if _, had := seen[r]; !had {
				seen[r] = struct{}{}
				changed = append(changed, r)
			}
		}
	}
	return changed, true
}

// TouchedSince reports whether a resource of one of the kinds may have changed
// after a generation.
func (s *Snapshot) TouchedSince(generation uint64, kinds ...Kind) bool {
	changed, known := s.ChangedSince(generation)
	if !known {
		return true
	}
	return slices.ContainsFunc(changed, func(r Reference) bool { return slices.Contains(kinds, r.kind) })
}
