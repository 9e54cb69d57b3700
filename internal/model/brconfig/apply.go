package brconfig

import "maps"

// Apply returns a new snapshot with the changes applied, numbered with the given
// generation. Its cost grows with the number of changes, not with the size of the
// configuration. It returns ErrDangling if a changed resource refers to a missing
// one or a deleted resource is still referenced, and ErrNotUnique if two resources
// have the same unique value.
func (s *Snapshot) Apply(generation uint64, changes []Change) (*Snapshot, error) {
	next := &Snapshot{generation: generation, tables: maps.Clone(s.tables), index: s.index, history: s.history.with(generation, changes)}
	update := newIndexUpdate()
	for _, c := range netChanges(changes) {
		if err := next.applyChange(c, update); err != nil {
			return nil, err
		}
	}
	index, err := next.index.apply(update)
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

// netChanges returns the last change of each resource, in the original order.
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

func (s *Snapshot) applyChange(c Change, update *indexUpdate) error {
	table, ok := s.tables[c.reference.kind]
	if !ok {
		return ErrKindNotExist{kind: c.reference.kind}
	}
	if old, found := table.get(c.reference.name).Get(); found {
		update.remove(old)
	}
	resource, isPut := c.resource.Get()
	if !isPut {
		s.tables[c.reference.kind] = table.remove(c.reference.name)
		return nil
	}
	changed, ok := table.put(resource)
	if !ok {
		return ErrKindNotExist{kind: resource.Kind()}
	}
	update.add(resource)
	s.tables[c.reference.kind] = changed
	return nil
}

func (s *Snapshot) checkReferences(c Change) error {
	resource, isPut := s.Get(c.reference).Get()
	if !isPut {
		return s.checkUnreferenced(c.reference)
	}
	for _, target := range resource.References() {
		if !s.Get(target).IsPresent() {
			return ErrDangling{from: c.reference, to: target}
		}
	}
	return nil
}

func (s *Snapshot) checkUnreferenced(deleted Reference) error {
	if count, _ := s.index.referenceCounts.Get(deleted); count == 0 {
		return nil
	}
	return ErrDangling{from: s.findReferrer(deleted), to: deleted}
}

// findReferrer returns a resource that refers to the given one. It scans all
// resources, so it is called only to report a refused change.
func (s *Snapshot) findReferrer(target Reference) Reference {
	for _, table := range s.tables {
		for resource := range table.all() {
			for _, r := range resource.References() {
				if r == target {
					return NewReference(resource.Kind(), resource.Name())
				}
			}
		}
	}
	return Reference{}
}
