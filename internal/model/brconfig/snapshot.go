package brconfig

import (
	"iter"
	"maps"
	"slices"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// Snapshot is the whole configuration at one generation. It is immutable and
// safe for use by several goroutines.
type Snapshot struct {
	generation uint64
	stores     map[Kind]store
	history    history
}

// NewSnapshot returns the empty configuration, generation 0.
func NewSnapshot() *Snapshot {
	return &Snapshot{stores: map[Kind]store{
		KindRegion:       storeOf[Region]{},
		KindDomain:       storeOf[Domain]{},
		KindLink:         storeOf[Link]{},
		KindSite:         storeOf[Site]{},
		KindBlock:        storeOf[Block]{},
		KindVM:           storeOf[VM]{},
		KindOrganisation: storeOf[Organisation]{},
		KindKey:          storeOf[Key]{},
		KindUnit:         storeOf[Unit]{},
		KindContract:     storeOf[Contract]{},
		KindService:      storeOf[Service]{},
		KindServer:       storeOf[Server]{},
		KindRoute:        storeOf[Route]{},
	}}
}

// Generation returns the number of the accepted change that made the snapshot.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Get returns the resource that a reference names.
func (s *Snapshot) Get(reference Reference) broption.Option[Resource] {
	rows, ok := s.stores[reference.kind]
	if !ok {
		return broption.None[Resource]()
	}
	return rows.get(reference.name)
}

// All iterates over the resources of a kind by ascending name.
func (s *Snapshot) All(kind Kind) iter.Seq[Resource] {
	rows, ok := s.stores[kind]
	if !ok {
		return func(func(Resource) bool) {}
	}
	return rows.all()
}

// Kinds returns the kinds of resources in ascending order.
func (s *Snapshot) Kinds() []Kind {
	return slices.Sorted(maps.Keys(s.stores))
}

// AllAfter iterates over the resources of a kind whose names lie above the
// given one, by ascending name.
func (s *Snapshot) AllAfter(kind Kind, name string) iter.Seq[Resource] {
	rows, ok := s.stores[kind]
	if !ok {
		return func(func(Resource) bool) {}
	}
	return rows.allAfter(name)
}

func tableOf[T Resource](s *Snapshot, kind Kind) Table[T] {
	typed, _ := s.stores[kind].(storeOf[T])
	return typed.table
}

// Regions returns the regions.
func (s *Snapshot) Regions() Table[Region] { return tableOf[Region](s, KindRegion) }

// Domains returns the failure domains.
func (s *Snapshot) Domains() Table[Domain] { return tableOf[Domain](s, KindDomain) }

// Links returns the links between regions.
func (s *Snapshot) Links() Table[Link] { return tableOf[Link](s, KindLink) }

// Sites returns the sites.
func (s *Snapshot) Sites() Table[Site] { return tableOf[Site](s, KindSite) }

// Blocks returns the blocks of clients.
func (s *Snapshot) Blocks() Table[Block] { return tableOf[Block](s, KindBlock) }

// VMs returns the entry VMs.
func (s *Snapshot) VMs() Table[VM] { return tableOf[VM](s, KindVM) }

// Organisations returns the organisations.
func (s *Snapshot) Organisations() Table[Organisation] {
	return tableOf[Organisation](s, KindOrganisation)
}

// Keys returns the keys.
func (s *Snapshot) Keys() Table[Key] { return tableOf[Key](s, KindKey) }

// Units returns the units of contracts.
func (s *Snapshot) Units() Table[Unit] { return tableOf[Unit](s, KindUnit) }

// Contracts returns the contracts.
func (s *Snapshot) Contracts() Table[Contract] { return tableOf[Contract](s, KindContract) }

// Services returns the services.
func (s *Snapshot) Services() Table[Service] { return tableOf[Service](s, KindService) }

// Servers returns the backend servers.
func (s *Snapshot) Servers() Table[Server] { return tableOf[Server](s, KindServer) }

// Routes returns the routes.
func (s *Snapshot) Routes() Table[Route] { return tableOf[Route](s, KindRoute) }

// Change puts or deletes one resource.
type Change struct {
	reference Reference
	resource  broption.Option[Resource]
}

// Put returns the change that adds or replaces a resource.
func Put(resource Resource) Change {
	return Change{
		reference: NewReference(resource.Kind(), resource.Name()),
		resource:  broption.Some(resource),
	}
}

// Delete returns the change that removes the resource that a reference names.
func Delete(reference Reference) Change {
	return Change{reference: reference}
}

// Reference returns the resource that is changed.
func (c Change) Reference() Reference { return c.reference }

// Resource returns the new resource, or none where it is deleted.
func (c Change) Resource() broption.Option[Resource] { return c.resource }

// Apply returns the snapshot after changes, as the given generation. It checks
// that each reference of the changed resources leads somewhere and that no
// deleted resource is still needed; it returns ErrDangling otherwise.
func (s *Snapshot) Apply(generation uint64, changes []Change) (*Snapshot, error) {
	next := &Snapshot{generation: generation, stores: maps.Clone(s.stores), history: s.history.with(generation, changes)}
	for _, c := range changes {
		if err := next.change(c); err != nil {
			return nil, err
		}
	}
	for _, c := range changes {
		if err := next.checkReferences(c); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (s *Snapshot) change(c Change) error {
	rows, ok := s.stores[c.reference.kind]
	if !ok {
		return ErrKindNotExist{kind: c.reference.kind}
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
	s.stores[c.reference.kind] = changed
	return nil
}

func (s *Snapshot) checkReferences(c Change) error {
	resource, isPut := c.resource.Get()
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
	if s.Get(deleted).IsPresent() {
		return nil
	}
	for _, rows := range s.stores {
		for resource := range rows.all() {
			for _, needed := range resource.References() {
				if needed == deleted {
					return ErrDangling{from: NewReference(resource.Kind(), resource.Name()), to: deleted}
				}
			}
		}
	}
	return nil
}
