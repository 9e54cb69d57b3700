package brmember

// Change is what one VM tells of another VM's life. It is immutable.
type Change struct {
	name        string
	incarnation uint64
	state       State
	observers   []string
}

// NewChange returns the state of a VM at an incarnation. The observers are the
// VMs that missed it; only suspicion and death have them.
func NewChange(name string, incarnation uint64, state State, observers ...string) Change {
	return Change{name: name, incarnation: incarnation, state: state, observers: observers}
}

// Name returns the VM that the change is about.
func (c Change) Name() string { return c.name }

// Incarnation returns the incarnation of the VM.
func (c Change) Incarnation() uint64 { return c.incarnation }

// State returns the state of the VM.
func (c Change) State() State { return c.state }

// Observers returns the VMs that missed it. The caller must not change the slice.
func (c Change) Observers() []string { return c.observers }

// Ping is what a VM says to another one, as question and as answer. It is
// immutable.
type Ping struct {
	name        string
	incarnation uint64
	generation  uint64
	leaving     bool
	changes     []Change
}

// NewPing returns a ping of a VM at an incarnation and a generation of the
// configuration, with what it tells of others.
func NewPing(name string, incarnation, generation uint64, leaving bool, changes []Change) Ping {
	return Ping{name: name, incarnation: incarnation, generation: generation, leaving: leaving, changes: changes}
}

// Name returns the VM that speaks.
func (p Ping) Name() string { return p.name }

// Incarnation returns its incarnation.
func (p Ping) Incarnation() uint64 { return p.incarnation }

// Generation returns the generation that is in force there.
func (p Ping) Generation() uint64 { return p.generation }

// Leaving reports whether the VM leaves.
func (p Ping) Leaving() bool { return p.leaving }

// Changes returns what it tells of others. The caller must not change the slice.
func (p Ping) Changes() []Change { return p.changes }
