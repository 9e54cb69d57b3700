package brdiscovery_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brdiscovery"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

func TestCallersGetLiveVMsOfNearbyRegions(t *testing.T) {
	vms := []brfleet.VM{
		brfleet.NewVM("a-1", "", "").WithLocation("a", "a"),
		brfleet.NewVM("a-2", "", "").WithLocation("a", "a"),
		brfleet.NewVM("b-1", "", "").WithLocation("b", "b"),
		brfleet.NewVM("c-1", "", "").WithLocation("c", "c"),
	}
	names := func(region string, homeRegions []string, dead ...string) []string {
		isAlive := func(vm string) bool {
			for _, d := range dead {
				if d == vm {
					return false
				}
			}
			return true
		}
		list := []string{}
		for _, vm := range brdiscovery.Choose(vms, isAlive, region, homeRegions) {
			list = append(list, vm.Name())
		}
		return list
	}
	require.Equal(t, []string{"a-1", "a-2"}, names("a", nil))
	require.Equal(t, []string{"a-2"}, names("a", nil, "a-1"))
	require.Equal(t, []string{"b-1", "c-1"}, names("a", nil, "a-1", "a-2"))
	require.Equal(t, []string{"c-1"}, names("a", []string{"c"}, "a-1", "a-2"))
	require.Equal(t, []string{"b-1", "c-1"}, names("a", []string{"a"}, "a-1", "a-2"))
	require.Empty(t, names("a", nil, "a-1", "a-2", "b-1", "c-1"))
}
