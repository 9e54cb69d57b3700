// Package brnaming decides which registered entry VMs are returned to a caller.
//
// Live VMs in the caller's region are preferred, then live VMs in the home regions
// of the requested service, then all live VMs.
//
// # Usage
//
//	vms := brnaming.Choose(registered, lives, "este", homes)
package brnaming

import (
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

// maxNamed is the maximum number of VMs in an answer.
const maxNamed = 64

// Choose returns the VMs for a caller in a region: the live VMs of that region. If
// there are none, it returns the live VMs of the home regions of what the caller
// requests, or else all live VMs.
func Choose(registered []brfleet.VM, lives func(vm string) bool, region string, homes []string) []brfleet.VM {
	live := slices.DeleteFunc(slices.Clone(registered), func(vm brfleet.VM) bool { return !lives(vm.Name()) })
	near := inRegions(live, region)
	if len(near) == 0 && len(homes) > 0 {
		near = inRegions(live, homes...)
	}
	if len(near) == 0 {
		near = live
	}
	return near[:min(len(near), maxNamed)]
}

func inRegions(vms []brfleet.VM, regions ...string) []brfleet.VM {
	found := []brfleet.VM{}
	for _, vm := range vms {
		if slices.Contains(regions, vm.Region()) {
			found = append(found, vm)
		}
	}
	return found
}
