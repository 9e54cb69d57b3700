// Package brwitness decides whether nobody can have changed the configuration
// while the platform's table could not be read.
//
// A few VMs, the same for everyone at one generation, are witnesses. Whoever
// is about to move the head announces it to one witness first and tells it the
// end. A VM that can't read the table asks all witnesses: if each attests that
// it holds the VM's own head and that no announced write is open, then no
// newer configuration was accepted before the questions were asked, and the
// VM's knowledge of keys is as fresh as that.
//
// A writer needs any one witness, a reader all of them, so that the two always
// have one in common. A witness that has restarted may have forgotten an
// announcement: it attests nothing before it has read the table itself,
// LandingTime after its start. The same read ends announcements whose end it
// was never told.
//
// # Usage
//
//	names := brwitness.Choose(snapshot)
//	witness := brwitness.NewWitness(now)
//	witness.Begin("operation-7", now)
//	witness.End("operation-7")
//	attestation := witness.Attest(head)
package brwitness

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Count is the number of witnesses, where there are as many VMs.
const Count = 3

// Choose returns the names of the witnesses in ascending order. They depend on
// the configured VMs only, and lie in as many failure domains as there are.
func Choose(snapshot *brconfig.Snapshot) []string {
	ranked := byWeight(snapshot)
	chosen := []string{}
	domains := map[string]int{}
	for spread := 0; len(chosen) < min(Count, len(ranked)); spread++ {
		for _, vm := range ranked {
			domain := domainOf(snapshot, vm)
			if len(chosen) == Count || domains[domain] > spread || slices.Contains(chosen, vm.Name()) {
				continue
			}
			domains[domain]++
			chosen = append(chosen, vm.Name())
		}
	}
	slices.Sort(chosen)
	return chosen
}

func byWeight(snapshot *brconfig.Snapshot) []brconfig.VM {
	vms := slices.Collect(snapshot.VMs().All())
	slices.SortFunc(vms, func(a, b brconfig.VM) int {
		if c := cmp.Compare(xxhash.Sum64String(b.Name()), xxhash.Sum64String(a.Name())); c != 0 {
			return c
		}
		return cmp.Compare(a.Name(), b.Name())
	})
	return vms
}

func domainOf(snapshot *brconfig.Snapshot, vm brconfig.VM) string {
	site, _ := snapshot.Sites().Get(vm.Site()).Get()
	return site.Domain()
}
