// Package brconfig defines the configuration model: the resource kinds and the
// immutable snapshot of all resources at one generation.
//
// Operators write resources, and every accepted change creates a new generation.
// Each VM holds one snapshot and replaces it as a whole, so that a decision never
// mixes two generations. Successive snapshots share unchanged resources.
//
// # Usage
//
//	empty := brconfig.NewSnapshot()
//	next, err := empty.Apply(1, []brconfig.Change{
//		brconfig.Put(brconfig.NewRegion(brconfig.NewMeta("este"))),
//	})
//	region, ok := next.Regions().Get("este").Get()
package brconfig

import "bergamotroad.example/bergamotroad/internal/model/brlabel"

// Kind is the type of a resource.
type Kind string

// The kinds of resources.
const (
	KindRegion       Kind = "region"
	KindDomain       Kind = "domain"
	KindLink         Kind = "link"
	KindSite         Kind = "site"
	KindBlock        Kind = "block"
	KindVM           Kind = "vm"
	KindOrganisation Kind = "organisation"
	KindKey          Kind = "key"
	KindUnit         Kind = "unit"
	KindContract     Kind = "contract"
	KindService      Kind = "service"
	KindServer       Kind = "server"
	KindRoute        Kind = "route"
	KindTeam         Kind = "team"
	KindToken        Kind = "token"
	KindSelector     Kind = "selector"
	KindMove         Kind = "move"
	KindDrain        Kind = "drain"
)

// Resource is a named object of the configuration. Resources are immutable.
type Resource interface {
	// Kind returns the type of the resource.
	Kind() Kind
	// Name returns the name, which is unique among resources of the same kind.
	Name() string
	// Team returns the name of the team that owns the resource, or "" if none does.
	Team() string
	// Labels returns the labels.
	Labels() brlabel.Labels
	// References returns the resources that this one refers to and that must exist.
	References() []Reference
}

// Reference identifies a resource by kind and name.
type Reference struct {
	kind Kind
	name string
}

// NewReference returns a reference to the resource of a kind and name.
func NewReference(kind Kind, name string) Reference {
	return Reference{kind: kind, name: name}
}

// Kind returns the kind of the resource.
func (r Reference) Kind() Kind { return r.kind }

// Name returns the name of the resource.
func (r Reference) Name() string { return r.name }

// String returns the reference in the form kind/name.
func (r Reference) String() string { return string(r.kind) + "/" + r.name }

// Meta is the metadata that all resources have.
type Meta struct {
	name   string
	team   string
	labels brlabel.Labels
}

// NewMeta returns the metadata of a resource without a team or labels.
func NewMeta(name string) Meta {
	return Meta{name: name}
}

// WithTeam returns the metadata with the team that owns the resource.
func (m Meta) WithTeam(team string) Meta {
	m.team = team
	return m
}

// WithLabels returns the metadata with labels.
func (m Meta) WithLabels(labels brlabel.Labels) Meta {
	m.labels = labels
	return m
}

// Name implements Resource.
func (m Meta) Name() string { return m.name }

// Team implements Resource.
func (m Meta) Team() string { return m.team }

// Labels implements Resource.
func (m Meta) Labels() brlabel.Labels { return m.labels }
