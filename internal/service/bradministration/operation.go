package bradministration

import (
	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// Edit makes changes from the configuration that they follow. It may be called
// more than once and must give the same for the same configuration.
type Edit func(snapshot *brconfig.Snapshot) ([]brconfig.Change, error)

// Fixed returns the edit that makes the same changes of every configuration.
func Fixed(changes []brconfig.Change) Edit {
	return func(*brconfig.Snapshot) ([]brconfig.Change, error) { return changes, nil }
}

// Operation is one change that an operator asks for. It is immutable.
type Operation struct {
	id          string
	fingerprint string
	principal   brprincipal.Principal
	expected    broption.Option[uint64]
	edit        Edit

	withoutWitness bool
	internal       bool // made by the VM itself, without token
}

// NewOperation returns an operation with an identifier of its own.
func NewOperation(principal brprincipal.Principal, edit Edit) Operation {
	return Operation{id: uuid.NewString(), principal: principal, edit: edit}
}

// WithID returns the operation with an identifier that its operator chose. Two
// operations with one identifier take effect once; the fingerprint tells that
// they ask for the same.
func (o Operation) WithID(id, fingerprint string) Operation {
	o.id = id
	o.fingerprint = fingerprint
	return o
}

// WithExpected returns the operation that is refused where one of its resources
// was changed after a generation.
func (o Operation) WithExpected(generation uint64) Operation {
	o.expected = broption.Some(generation)
	return o
}

// WithoutWitness returns the operation that is made although no witness can be
// told of it: VMs that can't read the table may honour what it withdraws until
// they can.
func (o Operation) WithoutWitness() Operation {
	o.withoutWitness = true
	return o
}

// ID returns the identifier.
func (o Operation) ID() string { return o.id }

// Outcome is what an accepted operation led to.
type Outcome struct {
	generation uint64
	operation  string
	repeated   bool
	changed    string
	warnings   []string
}

// Generation returns the generation that the operation made.
func (o Outcome) Generation() uint64 { return o.generation }

// Operation returns the identifier of the operation.
func (o Outcome) Operation() string { return o.operation }

// Repeated reports whether the operation had been accepted before.
func (o Outcome) Repeated() bool { return o.repeated }

// Warnings returns what the operator should know of the change.
func (o Outcome) Warnings() []string { return o.warnings }
