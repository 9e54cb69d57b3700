// Package brmember provides the entry VMs as one VM knows them: name, failure
// domain, address and state of each.
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

// State is what is known of a VM's life.
type State int

// The states of a VM, each overriding the ones before it at one incarnation.
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

// New returns a VM that lives; the domain is "" while it is not known.
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

// Domain returns the failure domain, or none as "".
func (m Member) Domain() string { return m.domain }

// Address returns host:port for other entry VMs.
func (m Member) Address() string { return m.address }

// State returns what is known of the VM's life.
func (m Member) State() State { return m.state }

// Usable reports whether the VM may still be asked for something.
func (m Member) Usable() bool { return m.state == StateAlive || m.state == StateSuspected }

// List is the VMs by ascending name. It is immutable.
type List struct {
	members []Member
}

// NewList returns a list; of two members of one name the later one counts.
func NewList(members []Member) List {
	sorted := slices.Clone(members)
	slices.Reverse(sorted)
	slices.SortStableFunc(sorted, func(a, b Member) int { return cmp.Compare(a.name, b.name) })
	return List{members: slices.CompactFunc(sorted, func(a, b Member) bool { return a.name == b.name })}
}

// All returns the VMs. The caller must not change the slice.
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
