package bradministration

import (
	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// Edit computes changes from the configuration that they are based on. It may be
// called more than once and must be deterministic.
type Edit func(snapshot *brconfig.Snapshot) ([]brconfig.Change, error)

// FixedEdit returns an edit that makes the same changes to every configuration.
func FixedEdit(changes []brconfig.Change) Edit {
	return func(*brconfig.Snapshot) ([]brconfig.Change, error) { return changes, nil }
}

// Operation is a change requested by an operator. It is immutable.
type Operation struct {
	id          string
	fingerprint string
	principal   brprincipal.Principal
	expected    broption.Option[uint64]
	edit        Edit

	withoutWitness bool
	internal       bool // requested by the VM itself, without a token
}

// NewOperation returns an operation with a new random identifier.
func NewOperation(principal brprincipal.Principal, edit Edit) Operation {
	return Operation{id: uuid.NewString(), principal: principal, edit: edit}
}

// WithID returns the operation with an identifier chosen by the operator. Two
// operations with the same identifier take effect once; their fingerprints must be
// equal, which shows that they are the same request.
func (o Operation) WithID(id, fingerprint string) Operation {
	o.id = id
	o.fingerprint = fingerprint
	return o
}

// WithExpectedGeneration returns the operation with an expected generation: it is refused if
// one of its resources was changed after that generation.
func (o Operation) WithExpectedGeneration(generation uint64) Operation {
	o.expected = broption.Some(generation)
	return o
}

// WithoutWitness returns the operation such that it is not announced to a witness and
// is applied even when none is reachable. VMs that can't read the table may then keep
// honouring what the operation revokes until they can read it again.
func (o Operation) WithoutWitness() Operation {
	o.withoutWitness = true
	return o
}

// ID returns the identifier.
func (o Operation) ID() string { return o.id }

// Outcome is the result of an accepted operation.
type Outcome struct {
	generation uint64
	operation  string
	repeated   bool
	changed    string
	warnings   []string
}

// Generation returns the generation that the operation created.
func (o Outcome) Generation() uint64 { return o.generation }

// Operation returns the identifier of the operation.
func (o Outcome) Operation() string { return o.operation }

// Repeated reports whether the operation had been accepted before.
func (o Outcome) Repeated() bool { return o.repeated }

// Warnings returns messages about the change for the operator.
func (o Outcome) Warnings() []string { return o.warnings }
