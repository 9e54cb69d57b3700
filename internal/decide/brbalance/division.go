package brbalance

import (
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// vmsOf returns the names of a failure domain's entry VMs in ascending order.
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

// divide sets this VM's share of each server's slots. The shares of all VMs add up
// to the slots. Slots that remain after an even division go to different VMs for
// different servers.
func (b *Balancer[P]) divide(vms []string) {
	place := slices.Index(vms, b.vm)
	for _, s := range b.services {
		for i, c := range s.candidates {
			c.divide(shareOf(c.server.Slots(), len(vms), place, i))
		}
	}
}

// shareOf returns the share of the VM at a place among count VMs. A VM that is not
// in the configuration (place < 0) knows no other VMs and takes all slots.
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
