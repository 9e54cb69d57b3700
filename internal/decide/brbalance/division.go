package brbalance

import (
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// vmsOf returns the names of a failure domain's entry VMs, ascending.
func vmsOf(snapshot *brconfig.Snapshot, domain string) []string {
	names := []string{}
	for v := range snapshot.VMs().All() {
		site, ok := snapshot.Sites().Get(v.Site()).Get()
		if ok && site.Domain() == domain {
			names = append(names, v.Name())
		}
	}
	return names
}

// divide gives this VM its share of each server's slots. The shares of all VMs
// add up to the slots; the VMs that get one more differ from server to server.
func (b *Balancer[P]) divide(vms []string) {
	place := slices.Index(vms, b.vm)
	for _, s := range b.services {
		for i, c := range s.candidates {
			c.divide(shareOf(c.server.Slots(), len(vms), place, i))
		}
	}
}

// shareOf returns the share of one of count VMs. A VM that is not listed is
// alone as far as it knows.
func shareOf(slots, count, place, server int) int {
	if place < 0 {
		return slots
	}
	share := slots / count
	if (place+server)%count < slots%count {
		share++
	}
	return share
}
