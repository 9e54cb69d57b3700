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

// divideSlots sets this VM's share of each server's slots. The shares of all VMs add
// up to the slots. Slots that remain after an even division go to different VMs for
// different servers.
func (b *Balancer[P]) divideSlots(vms []string) {
	index := slices.Index(vms, b.vm)
	for _, s := range b.services {
		for i, c := range s.candidates {
			c.setShare(shareOf(c.server.Slots(), len(vms), index, i))
		}
	}
}

// shareOf returns the share of the VM at an index among count VMs. A VM that is not
// in the configuration (vmIndex < 0) knows no other VMs and takes all slots.
func shareOf(slots, count, vmIndex, serverIndex int) int {
	if vmIndex < 0 {
		return slots
	}
	share := slots / count
	if (vmIndex+serverIndex)%count < slots%count {
		share++
	}
	return share
}
