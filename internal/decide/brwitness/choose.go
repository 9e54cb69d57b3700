// Package brwitness decides whether a configuration is known to be the newest one
// while the platform's table can't be read.
//
// A few VMs are witnesses; which ones is a function of the configuration, so that
// all VMs agree on them at one generation. A writer announces a write of the head
// to one witness before it makes the write, and reports the end of the write
// afterwards. A VM that can't read the table asks all witnesses. If each of them
// attests that it has the same head as the VM and that no announced write is
// pending, then no newer configuration was accepted before the witnesses were
// asked, and the VM's API keys are confirmed as of that time.
//
// A writer needs any one witness and a reader needs all of them, so that their
// quorums always intersect. A witness loses its announcements when it restarts:
// it attests nothing until it has read the table at least SettleTime after its
// start. Such a read also ends announcements whose end was never reported.
//
// # Usage
//
//	names := brwitness.Choose(snapshot)
//	witness := brwitness.NewWitness(now)
//	accepted := witness.Begin("operation-7", now)
//	witness.End("operation-7")
//	if witness.CanAttest() {
//		// attest the witness's head
//	}
package brwitness

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Count is the number of witnesses, unless there are fewer VMs.
const Count = 3

// Choose returns the names of the witnesses in ascending order. They depend only on
// the configuration, and are spread over as many failure domains as possible.
func Choose(snapshot *brconfig.Snapshot) []string {
	ranked := byWeight(snapshot)
	chosen := []string{}
	domains := map[string]int{}
	for perDomain := 0; len(chosen) < min(Count, len(ranked)); perDomain++ {
		for _, vm := range ranked {
			domain := domainOf(snapshot, vm)
			if len(chosen) == Count || domains[domain] > perDomain || slices.Contains(chosen, vm.Name()) {
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
