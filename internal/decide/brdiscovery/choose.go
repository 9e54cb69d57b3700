// Package brdiscovery decides which registered entry VMs are returned to a caller.
//
// Live VMs in the caller's region are preferred, then live VMs in the home regions
// of the requested service, then all live VMs.
//
// # Usage
//
//	vms := brdiscovery.Choose(registered, isAlive, "este", homeRegions)
package brdiscovery

import (
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

// maxVMs is the maximum number of VMs in an answer.
const maxVMs = 64

// Choose returns the VMs for a caller in a region: the live VMs of that region. If
// there are none, it returns the live VMs of the home regions of what the caller
// requests, or else all live VMs.
func Choose(registered []brfleet.VM, isAlive func(vm string) bool, region string, homeRegions []string) []brfleet.VM {
	alive := slices.DeleteFunc(slices.Clone(registered), func(vm brfleet.VM) bool { return !isAlive(vm.Name()) })
	chosen := inRegions(alive, region)
	if len(chosen) == 0 && len(homeRegions) > 0 {
		chosen = inRegions(alive, homeRegions...)
	}
	if len(chosen) == 0 {
		chosen = alive
	}
	return chosen[:min(len(chosen), maxVMs)]
}

func inRegions(vms []brfleet.VM, regions ...string) []brfleet.VM {
	matching := []brfleet.VM{}
	for _, vm := range vms {
		if slices.Contains(regions, vm.Region()) {
			matching = append(matching, vm)
		}
	}
	return matching
}
