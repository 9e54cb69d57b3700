// Package brmember provides a VM's membership list of the entry VMs, with the
// name, failure domain, address and state of each, and the messages that keep it
// up to date.
//
// # Usage
//
//	list := brmember.NewList([]brmember.Member{
//		brmember.New("vm-1", "montevideo-a", "10.0.1.7:7400"),
//	})
//	for _, m := range list.Domain("montevideo-a") {
//		fmt.Println(m.Name(), m.State())
//	}
package brmember

import (
	"cmp"
	"slices"
)

// State is the liveness of a VM as known to another one.
type State int

// The states of a VM; within an incarnation each overrides those listed before it.
const (
	StateAlive State = iota
	StateSuspected
	StateDead
	StateLeft
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspected:
		return "suspected"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	default:
		return "unknown"
	}
}

// Member is one entry VM. It is immutable.
type Member struct {
	name    string
	domain  string
	address string
	state   State
}

// New returns a VM that is alive; the domain is "" while it is unknown.
func New(name, domain, address string) Member {
	return Member{name: name, domain: domain, address: address}
}

// WithState returns the VM with another state.
func (m Member) WithState(state State) Member {
	m.state = state
	return m
}

// Name returns the VM's name.
func (m Member) Name() string { return m.name }

// Domain returns the failure domain, or "" while it is unknown.
func (m Member) Domain() string { return m.domain }

// Address returns the host:port address for other entry VMs.
func (m Member) Address() string { return m.address }

// State returns the VM's state.
func (m Member) State() State { return m.state }

// Usable reports whether requests may still be sent to the VM.
func (m Member) Usable() bool { return m.state == StateAlive || m.state == StateSuspected }

// List is a list of VMs in ascending order of name. It is immutable.
type List struct {
	members []Member
}

// NewList returns a list; of several members with the same name the last one is kept.
func NewList(members []Member) List {
	sorted := slices.Clone(members)
	slices.Reverse(sorted)
	slices.SortStableFunc(sorted, func(a, b Member) int { return cmp.Compare(a.name, b.name) })
	return List{members: slices.CompactFunc(sorted, func(a, b Member) bool { return a.name == b.name })}
}

// All returns the VMs. The caller must not modify the slice.
func (l List) All() []Member { return l.members }

// Domain returns the VMs of a failure domain.
func (l List) Domain(domain string) []Member {
	members := []Member{}
	for _, m := range l.members {
		if m.domain == domain {
			members = append(members, m)
		}
	}
	return members
}
