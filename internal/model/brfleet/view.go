// Package brfleet provides a VM's view of the fleet at one moment: the operators'
// configuration, the backend servers, the entry VMs, the rollouts in progress and
// the failure domains that are being evacuated. All of it is immutable; each
// change makes a new View.
//
// # Usage
//
//	view := brfleet.NewView(policy, servers, vms, rollouts, evacuated)
//	route, ok := view.Policy().Match("depot.example", "/cylinders/7")
//	for _, s := range view.ServersOf("lookup") {
//		fmt.Println(s.Address())
//	}
package brfleet

import (
	"cmp"
	"slices"

	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// View is the state of the fleet as known to a VM at one moment.
type View struct {
	policy    Policy
	servers   map[string][]Server // by service, ordered by identifier
	vms       []VM                // ordered by name
	rollouts  map[string]Rollout  // by service
	evacuated brset.Set[string]
}

// NewView returns a view of the given lists, which need not be sorted.
func NewView(policy Policy, servers []Server, vms []VM, rollouts []Rollout, evacuated brset.Set[string]) *View {
	v := &View{policy: policy, servers: map[string][]Server{}, rollouts: map[string]Rollout{}, evacuated: evacuated}
	for _, s := range servers {
		v.servers[s.service] = append(v.servers[s.service], s)
	}
	for _, list := range v.servers {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.id, b.id) })
	}
	for _, r := range rollouts {
		v.rollouts[r.service] = r
	}
	v.vms = slices.SortedFunc(slices.Values(vms), func(a, b VM) int { return cmp.Compare(a.name, b.name) })
	return v
}

// Policy returns the operators' configuration.
func (v *View) Policy() Policy { return v.policy }

// ServersOf returns the servers of a service, ordered by identifier.
func (v *View) ServersOf(service string) []Server { return v.servers[service] }

// Servers returns all servers by service.
func (v *View) Servers() map[string][]Server { return v.servers }

// VMs returns the registered VMs, ordered by name.
func (v *View) VMs() []VM { return v.vms }

// Rollout returns the rollout of a service, if there is one.
func (v *View) Rollout(service string) (Rollout, bool) {
	r, ok := v.rollouts[service]
	return r, ok
}

// Rollouts returns all rollouts by service.
func (v *View) Rollouts() map[string]Rollout { return v.rollouts }

// Evacuated reports whether a failure domain is being evacuated.
func (v *View) Evacuated(domain string) bool { return v.evacuated.Has(domain) }
