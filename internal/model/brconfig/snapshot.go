package brconfig

import (
	"iter"
	"maps"
	"slices"

	"bergamotroad.example/bergamotroad/internal/core/broption"
)

// Snapshot is the complete configuration at one generation. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	generation uint64
	tables     map[Kind]resourceTable
	index      index
	history    history
}

// NewSnapshot returns the empty configuration at generation 0.
func NewSnapshot() *Snapshot {
	return &Snapshot{index: newIndex(), tables: map[Kind]resourceTable{
		KindRegion:       tableAdapter[Region]{},
		KindDomain:       tableAdapter[Domain]{},
		KindLink:         tableAdapter[Link]{},
		KindSite:         tableAdapter[Site]{},
		KindBlock:        tableAdapter[Block]{},
		KindVM:           tableAdapter[VM]{},
		KindOrganisation: tableAdapter[Organisation]{},
		KindKey:          tableAdapter[Key]{},
		KindUnit:         tableAdapter[Unit]{},
		KindContract:     tableAdapter[Contract]{},
		KindService:      tableAdapter[Service]{},
		KindServer:       tableAdapter[Server]{},
		KindRoute:        tableAdapter[Route]{},
		KindTeam:         tableAdapter[Team]{},
		KindToken:        tableAdapter[Token]{},
		KindSelector:     tableAdapter[Selector]{},
		KindMove:         tableAdapter[Move]{},
		KindDrain:        tableAdapter[Drain]{},
	}}
}

// Generation returns the number of the accepted change that created the snapshot.
func (s *Snapshot) Generation() uint64 { return s.generation }

// Get returns the resource with the given kind and name.
func (s *Snapshot) Get(reference Reference) broption.Option[Resource] {
	table, ok := s.tables[reference.kind]
	if !ok {
		return broption.None[Resource]()
	}
	return table.get(reference.name)
}

// All iterates over the resources of a kind in ascending order of name.
func (s *Snapshot) All(kind Kind) iter.Seq[Resource] {
	table, ok := s.tables[kind]
	if !ok {
		return func(func(Resource) bool) {}
	}
	return table.all()
}

// Len returns the number of resources of a kind.
func (s *Snapshot) Len(kind Kind) int {
	table, ok := s.tables[kind]
	if !ok {
		return 0
	}
	return table.count()
}

// Kinds returns the kinds of resources in ascending order.
func (s *Snapshot) Kinds() []Kind {
	return slices.Sorted(maps.Keys(s.tables))
}

// AllAfter iterates over the resources of a kind whose names sort after the given
// one, in ascending order of name.
func (s *Snapshot) AllAfter(kind Kind, name string) iter.Seq[Resource] {
	table, ok := s.tables[kind]
	if !ok {
		return func(func(Resource) bool) {}
	}
	return table.allAfter(name)
}

func tableOf[T Resource](s *Snapshot, kind Kind) Table[T] {
	typed, _ := s.tables[kind].(tableAdapter[T])
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

// Blocks returns the blocks of client addresses.
func (s *Snapshot) Blocks() Table[Block] { return tableOf[Block](s, KindBlock) }

// VMs returns the entry VMs.
func (s *Snapshot) VMs() Table[VM] { return tableOf[VM](s, KindVM) }

// Organisations returns the organisations.
func (s *Snapshot) Organisations() Table[Organisation] {
	return tableOf[Organisation](s, KindOrganisation)
}

// Keys returns the keys.
func (s *Snapshot) Keys() Table[Key] { return tableOf[Key](s, KindKey) }

// Units returns the units in which contracts are metered.
func (s *Snapshot) Units() Table[Unit] { return tableOf[Unit](s, KindUnit) }

// Contracts returns the contracts.
func (s *Snapshot) Contracts() Table[Contract] { return tableOf[Contract](s, KindContract) }

// Services returns the services.
func (s *Snapshot) Services() Table[Service] { return tableOf[Service](s, KindService) }

// Servers returns the backend servers.
func (s *Snapshot) Servers() Table[Server] { return tableOf[Server](s, KindServer) }

// Routes returns the routes.
func (s *Snapshot) Routes() Table[Route] { return tableOf[Route](s, KindRoute) }

// Teams returns the operator teams.
func (s *Snapshot) Teams() Table[Team] { return tableOf[Team](s, KindTeam) }

// Tokens returns the API tokens of operators.
func (s *Snapshot) Tokens() Table[Token] { return tableOf[Token](s, KindToken) }

// Selectors returns the selectors.
func (s *Snapshot) Selectors() Table[Selector] { return tableOf[Selector](s, KindSelector) }

// Moves returns the moves of services between versions.
func (s *Snapshot) Moves() Table[Move] { return tableOf[Move](s, KindMove) }

// Drains returns the drains.
func (s *Snapshot) Drains() Table[Drain] { return tableOf[Drain](s, KindDrain) }

// Change puts or deletes one resource.
type Change struct {
	reference Reference
	resource  broption.Option[Resource]
}

// Put returns a change that adds or replaces a resource.
func Put(resource Resource) Change {
	return Change{
		reference: NewReference(resource.Kind(), resource.Name()),
		resource:  broption.Some(resource),
	}
}

// Delete returns a change that deletes a resource.
func Delete(reference Reference) Change {
	return Change{reference: reference}
}

// Reference returns the reference of the changed resource.
func (c Change) Reference() Reference { return c.reference }

// Resource returns the new resource, or none if the change is a deletion.
func (c Change) Resource() broption.Option[Resource] { return c.resource }
