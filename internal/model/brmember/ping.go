package brmember

// Change is a state of a VM as reported by another VM. It is immutable.
type Change struct {
	name        string
	incarnation uint64
	state       State
	observers   []string
}

// NewChange returns a change of a VM's state at an incarnation. The observers are
// the VMs that got no response from it; only StateSuspected and StateDead have them.
func NewChange(name string, incarnation uint64, state State, observers ...string) Change {
	return Change{name: name, incarnation: incarnation, state: state, observers: observers}
}

// Name returns the name of the VM that the change is about.
func (c Change) Name() string { return c.name }

// Incarnation returns the incarnation of the VM.
func (c Change) Incarnation() uint64 { return c.incarnation }

// State returns the state of the VM.
func (c Change) State() State { return c.state }

// Observers returns the VMs that got no response from the VM. The caller must not
// modify the slice.
func (c Change) Observers() []string { return c.observers }

// Ping is the message of the failure detector, both as request and as response.
// It is immutable.
type Ping struct {
	name        string
	incarnation uint64
	generation  uint64
	leaving     bool
	changes     []Change
}

// NewPing returns a ping from a VM with its incarnation, the generation of its
// configuration, and the changes of other VMs that it reports.
func NewPing(name string, incarnation, generation uint64, leaving bool, changes []Change) Ping {
	return Ping{name: name, incarnation: incarnation, generation: generation, leaving: leaving, changes: changes}
}

// Name returns the name of the sender.
func (p Ping) Name() string { return p.name }

// Incarnation returns the sender's incarnation.
func (p Ping) Incarnation() uint64 { return p.incarnation }

// Generation returns the generation of the sender's active configuration.
func (p Ping) Generation() uint64 { return p.generation }

// Leaving reports whether the sender is shutting down.
func (p Ping) Leaving() bool { return p.leaving }

// Changes returns the changes of other VMs that the sender reports. The caller
// must not modify the slice.
func (p Ping) Changes() []Change { return p.changes }
