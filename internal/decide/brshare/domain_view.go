package brshare

import (
	"cmp"
	"hash/fnv"
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brallocation"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const (
	// poolCandidates is the number of VMs of a failure domain that may hold its pool.
	poolCandidates = 4
	// maxLocalLenders and maxRemoteLenders bound the number of potential lenders in the
	// VM's own failure domain and in others.
	maxLocalLenders  = 16
	maxRemoteLenders = 16
)

// DomainView is one VM's view of the VMs and failure domains in the configuration. It is
// immutable.
type DomainView struct {
	candidate bool
	vms       int
	target    Parts
	lenders   []brconfig.VM
}

// NewDomainView returns the view of a VM in the given failure domain.
func NewDomainView(snapshot *brconfig.Snapshot, vm, domain string) DomainView {
	local, remote := vmsByDomain(snapshot, domain)
	slices.SortFunc(remote, byRank(vm))
	slices.SortFunc(local, byRank(domain))
	rank := slices.IndexFunc(local, func(v brconfig.VM) bool { return v.Name() == vm })
	view := DomainView{candidate: rank < poolCandidates, vms: len(local), target: targetOf(snapshot, domain)}
	local = slices.DeleteFunc(local, func(v brconfig.VM) bool { return v.Name() == vm })
	view.lenders = slices.Concat(local[:min(len(local), maxLocalLenders)], remote[:min(len(remote), maxRemoteLenders)])
	return view
}

// PoolCandidate reports whether the VM may hold the pool of its failure domain.
func (v DomainView) PoolCandidate() bool { return v.candidate }

// VMs returns the number of VMs of the failure domain.
func (v DomainView) VMs() int { return v.vms }

// Target returns the number of parts that the failure domain should have.
func (v DomainView) Target() Parts { return v.target }

// Lenders returns the VMs to request loans from, those of its own failure domain first.
// The caller must not modify the slice.
func (v DomainView) Lenders() []brconfig.VM { return v.lenders }

func vmsByDomain(snapshot *brconfig.Snapshot, domain string) (local, remote []brconfig.VM) {
	for v := range snapshot.VMs().All() {
		site, _ := snapshot.Sites().Get(v.Site()).Get()
		if site.Domain() == domain {
			local = append(local, v)
		} else {
			remote = append(remote, v)
		}
	}
	return local, remote
}

// targetOf divides the parts equally among the failure domains; the first ones get the
// remainder.
func targetOf(snapshot *brconfig.Snapshot, domain string) Parts {
	index := 0
	for d := range snapshot.Domains().All() {
		if d.Name() == domain {
			return brallocation.Even(Whole, index, snapshot.Domains().Len())
		}
		index++
	}
	return 0
}

// byRank orders VMs by the rendezvous hash of their name and the key.
func byRank(key string) func(a, b brconfig.VM) int {
	rank := func(v brconfig.VM) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(v.Name() + "\x00" + key))
		return h.Sum64()
	}
	return func(a, b brconfig.VM) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name(), b.Name()))
	}
}
