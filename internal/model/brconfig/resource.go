// Package brconfig provides the configuration: its resources and the immutable
// snapshot of all of them at one generation.
//
// Operators write resources; an accepted change makes the next generation.
// Every VM holds one snapshot and replaces it whole, so that a decision sees
// one generation only. Snapshots share what did not change between them.
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

// Kind names a type of resource.
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

// Resource is one named thing that operators configure. Resources are immutable.
type Resource interface {
	// Kind returns the type of the resource.
	Kind() Kind
	// Name returns the name, unique among resources of the kind.
	Name() string
	// Team returns the name of the owner team, or none as "".
	Team() string
	// Labels returns the labels.
	Labels() brlabel.Labels
	// References returns the resources that this one names and needs.
	References() []Reference
}

// Reference names a resource.
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

// String returns kind and name.
func (r Reference) String() string { return string(r.kind) + "/" + r.name }

// Meta is what all resources have.
type Meta struct {
	name   string
	team   string
	labels brlabel.Labels
}

// NewMeta returns the meta data of a resource without team and labels.
func NewMeta(name string) Meta {
	return Meta{name: name}
}

// WithTeam returns the meta data with an owner team.
func (m Meta) WithTeam(team string) Meta {
	m.team = team
	return m
}

// WithLabels returns the meta data with labels.
func (m Meta) WithLabels(labels brlabel.Labels) Meta {
	m.labels = labels
	return m
}

// Name returns the name.
func (m Meta) Name() string { return m.name }

// Team returns the owner team.
func (m Meta) Team() string { return m.team }

// Labels returns the labels.
func (m Meta) Labels() brlabel.Labels { return m.labels }
