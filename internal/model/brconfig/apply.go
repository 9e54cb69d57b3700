package brconfig

import "maps"

// Apply returns the snapshot after changes, as the given generation. Its cost
// grows with the changes, not with the configuration. It checks that each
// reference of the changed resources leads somewhere, that no deleted resource
// is still needed and that no two resources claim the same; it returns
// ErrDangling or ErrClaimed otherwise.
func (s *Snapshot) Apply(generation uint64, changes []Change) (*Snapshot, error) {
	next := &Snapshot{generation: generation, stores: maps.Clone(s.stores), index: s.index, history: s.history.with(generation, changes)}
	altered := newAlteration()
	for _, c := range netChanges(changes) {
		if err := next.change(c, altered); err != nil {
			return nil, err
		}
	}
	index, err := next.index.with(altered)
	if err != nil {
		return nil, err
	}
	next.index = index
	for _, c := range changes {
		if err := next.checkReferences(c); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// netChanges keeps the last change of each resource, in order.
func netChanges(changes []Change) []Change {
	last := make(map[Reference]int, len(changes))
	for i, c := range changes {
		last[c.reference] = i
	}
	if len(last) == len(changes) {
		return changes
	}
	net := make([]Change, 0, len(last))
	for i, c := range changes {
		if last[c.reference] == i {
			net = append(net, c)
		}
	}
	return net
}

func (s *Snapshot) change(c Change, altered *alteration) error {
	rows, ok := s.stores[c.reference.kind]
	if !ok {
		return ErrKindNotExist{kind: c.reference.kind}
	}
	if old, had := rows.get(c.reference.name).Get(); had {
		altered.remove(old)
	}
	resource, isPut := c.resource.Get()
	if !isPut {
		s.stores[c.reference.kind] = rows.remove(c.reference.name)
		return nil
	}
	changed, ok := rows.put(resource)
	if !ok {
		return ErrKindNotExist{kind: resource.Kind()}
	}
	altered.add(resource)
	s.stores[c.reference.kind] = changed
	return nil
}

func (s *Snapshot) checkReferences(c Change) error {
	resource, isPut := s.Get(c.reference).Get()
	if !isPut {
		return s.checkUnneeded(c.reference)
	}
	for _, needed := range resource.References() {
		if !s.Get(needed).IsPresent() {
			return ErrDangling{from: c.reference, to: needed}
		}
	}
	return nil
}

func (s *Snapshot) checkUnneeded(deleted Reference) error {
	if count, _ := s.index.needed.Get(deleted); count == 0 {
		return nil
	}
	return ErrDangling{from: s.dependant(deleted), to: deleted}
}

// dependant finds a resource that needs another. It reads all resources and is
// called only where a change is refused.
func (s *Snapshot) dependant(needed Reference) Reference {
	for _, rows := range s.stores {
		for resource := range rows.all() {
			for _, r := range resource.References() {
				if r == needed {
					return NewReference(resource.Kind(), resource.Name())
				}
			}
		}
	}
	return Reference{}
}
