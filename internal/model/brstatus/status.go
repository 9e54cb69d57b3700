// Package brstatus provides the state of the fleet that VMs exchange in addition
// to the records of the store: the live VMs, the demand of each organisation, the
// results of the versions that are being rolled out, and the requests that crash
// servers. All of it is immutable.
//
// # Usage
//
//	status := brstatus.New(members, demands, tallies)
//	share := own / status.Demand("cold-chain-ltd")
package brstatus

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Status is the state of a VM, a region or the whole fleet.
type Status struct {
	members  []string           // sorted
	demands  map[string]float64 // requests per second, by organisation
	ledger   Ledger
	poison   []brrequest.PoisonNotice
	cases    []brrequest.PoisonCase   // of one message; not part of sums
	stopping map[string]time.Duration // time since a VM announced its shutdown, by VM
	usage    brmeter.Usage            // of one message; not part of sums
	servers  map[ServerKey]ServerUse  // what VMs have at servers, and what they saw there
}

// ServerUse is what VMs have at a backend server and what they saw there lately. It is
// immutable.
type ServerUse struct {
	running uint32
	bad     uint32
	all     uint32
}

// NewServerUse returns a use with the number of running requests.
func NewServerUse(running uint32) ServerUse { return ServerUse{running: running} }

// WithOutcomes returns the use with the recent outcomes: those by which the server showed
// that it can't serve, and all of them.
func (u ServerUse) WithOutcomes(bad, all uint32) ServerUse {
	u.bad, u.all = bad, all
	return u
}

// Running returns the number of running requests.
func (u ServerUse) Running() uint32 { return u.running }

// Bad returns the recent outcomes by which the server showed that it can't serve.
func (u ServerUse) Bad() uint32 { return u.bad }

// All returns the number of recent outcomes.
func (u ServerUse) All() uint32 { return u.all }

// Add returns the sum of two uses.
func (u ServerUse) Add(o ServerUse) ServerUse {
	return ServerUse{running: u.running + o.running, bad: u.bad + o.bad, all: u.all + o.all}
}

// ServerKey identifies a backend server in the counts that VMs exchange. It is a hash of
// the server's identifier, so that a report has 4 bytes for each server.
type ServerKey uint32

// NewServerKey returns the key of the server with an identifier.
func NewServerKey(id string) ServerKey { return ServerKey(xxhash.Sum64String(id)) }

// New returns a status with the live and serving VMs, the demand in requests per
// second by organisation, and the tallies of rollouts. The maps must not be modified
// afterwards.
func New(members []string, demands map[string]float64, ledger Ledger) Status {
	return Status{members: slices.Sorted(slices.Values(members)), demands: demands, ledger: ledger}
}

// WithLedger returns the status with other tallies of rollouts. The ledger must not be
// modified afterwards.
func (s Status) WithLedger(ledger Ledger) Status {
	s.ledger = ledger
	return s
}

// WithPoison returns the status with notices of requests that crash servers. The
// slice must not be modified afterwards.
func (s Status) WithPoison(notices []brrequest.PoisonNotice) Status {
	s.poison = notices
	return s
}

// Poison returns the notices of requests that crash servers, without duplicates.
// The slice must not be modified.
func (s Status) Poison() []brrequest.PoisonNotice { return s.poison }

// WithCases returns the status with the requests that crash servers, as its sender knows them.
// They are part of one message only: each VM keeps those that it receives. The slice must not
// be modified afterwards.
func (s Status) WithCases(cases []brrequest.PoisonCase) Status {
	s.cases = cases
	return s
}

// Cases returns the requests that crash servers, as the sender of the status knows them. The
// slice must not be modified.
func (s Status) Cases() []brrequest.PoisonCase { return s.cases }

// WithStopping returns the status with the time since each of the stopping VMs
// announced its shutdown. The map must not be modified afterwards.
func (s Status) WithStopping(stopping map[string]time.Duration) Status {
	s.stopping = stopping
	return s
}

// IsStopping reports whether a VM has announced its shutdown. It may have restarted since.
func (s Status) IsStopping(vm string) bool {
	_, ok := s.stopping[vm]
	return ok
}

// Stopping returns the time since each of the stopping VMs announced its shutdown.
// The map must not be modified.
func (s Status) Stopping() map[string]time.Duration { return s.stopping }

// WithUsage returns the status with the usage that its sender tells the receiver. It is part
// of one message only: Merge leaves it out, since counts are merged by VM and run elsewhere.
func (s Status) WithUsage(usage brmeter.Usage) Status {
	s.usage = usage
	return s
}

// Usage returns the usage that the sender of the status tells.
func (s Status) Usage() brmeter.Usage { return s.usage }

// WithServers returns the status with what VMs have at servers. The map must not be
// modified afterwards.
func (s Status) WithServers(servers map[ServerKey]ServerUse) Status {
	s.servers = servers
	return s
}

// Servers returns what VMs have at servers, for the services whose loads are exchanged.
// The map must not be modified.
func (s Status) Servers() map[ServerKey]ServerUse { return s.servers }

// Members returns the live and serving VMs in ascending order. The slice must not
// be modified.
func (s Status) Members() []string { return s.members }

// IsMember reports whether a VM is among the members.
func (s Status) IsMember(vm string) bool {
	_, found := slices.BinarySearch(s.members, vm)
	return found
}

// Demand returns the demand of an organisation's callers in requests per second.
func (s Status) Demand(organisation string) float64 { return s.demands[organisation] }

// Demands returns all demands by organisation. The map must not be modified.
func (s Status) Demands() map[string]float64 { return s.demands }

// Tally returns the tally of the rollout with a revision.
func (s Status) Tally(revision brrecord.Revision) Tally { return s.ledger.Tally(revision) }

// Ledger returns the tallies of all rollouts. It must not be modified.
func (s Status) Ledger() Ledger { return s.ledger }

// Merge merges two statuses: it adds up demands and uses of servers, unites members, notices and
// tallies of VMs, and keeps the later of two shutdown announcements of a VM.
func (s Status) Merge(o Status) Status {
	demands := maps.Clone(s.demands)
	if demands == nil {
		demands = map[string]float64{}
	}
	for name, demand := range o.demands {
		demands[name] += demand
	}
	return New(slices.Compact(slices.Sorted(slices.Values(slices.Concat(s.members, o.members)))), demands, s.ledger.Merge(o.ledger)).
		WithPoison(union(s.poison, o.poison)).
		WithStopping(latest(s.stopping, o.stopping)).
		WithServers(add(s.servers, o.servers))
}

// add adds up the uses of two maps.
func add(a, b map[ServerKey]ServerUse) map[ServerKey]ServerUse {
	if len(b) == 0 {
		return a
	}
	sum := maps.Clone(b)
	for key, use := range a {
		sum[key] = sum[key].Add(use)
	}
	return sum
}

// latest merges two maps, keeping the time since the later shutdown announcement
// of each VM.
func latest(a, b map[string]time.Duration) map[string]time.Duration {
	if len(b) == 0 {
		return a
	}
	merged := maps.Clone(b)
	for vm, age := range a {
		if known, ok := merged[vm]; !ok || age < known {
			merged[vm] = age
		}
	}
	return merged
}

// union merges two lists of notices without duplicates. The lists are short, so
// that a linear search suffices.
func union(a, b []brrequest.PoisonNotice) []brrequest.PoisonNotice {
	list := slices.Clone(a)
	for _, notice := range b {
		if !slices.Contains(a, notice) {
			list = append(list, notice)
		}
	}
	return list
}
