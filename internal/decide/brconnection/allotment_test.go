package brconnection

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// otherFronts is the number of an entry VM's fronts for look-ups, checks and metrics.
const otherFronts = 3

// Guards against fronts that together use up the descriptors of a VM.
func TestFrontsAndRequestsFitIntoTheDescriptors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := rapid.IntRange(500, 1<<20).Draw(t, "files")
		a := NewAllotment(files, int64(rapid.IntRange(0, 1<<40).Draw(t, "memory")))
		require.LessOrEqual(t, a.Callers()+a.Peers()+otherFronts*a.Others()+a.Requests(), files-reservedFiles)
	})
}

// Guards against limits that callers of the smallest and of the largest VM reach.
func TestAllotmentOfUsualVMs(t *testing.T) {
	smallest := NewAllotment(2870, 136<<20)
	require.Equal(t, []int{1001, 667, 83, 667}, []int{smallest.Callers(), smallest.Peers(), smallest.Others(), smallest.Requests()})
	largest := NewAllotment(8192, 536<<20)
	require.Equal(t, []int{2997, 1998, 249, 1998}, []int{largest.Callers(), largest.Peers(), largest.Others(), largest.Requests()})
}

// Guards against a VM that turns away some of the other VMs of its fleet: each of 87 may have
// two idle connections and a long poll.
func TestOtherVMsOfAFleetFit(t *testing.T) {
	require.GreaterOrEqual(t, NewAllotment(2870, 136<<20).Peers(), 3*87)
}

// Guards against connections whose headers use up the memory of a VM with many descriptors.
func TestCallersAreBoundedByMemory(t *testing.T) {
	require.Equal(t, 2176, NewAllotment(1<<20, 136<<20).Callers())
}
