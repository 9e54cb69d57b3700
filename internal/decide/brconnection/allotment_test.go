package brconnection

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// frontCount is the number of an entry VM's fronts beside the one for callers.
const frontCount = 4

// Guards against fronts that together use up the descriptors of a VM.
func TestFrontsAndRequestsFitIntoTheDescriptors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := rapid.IntRange(500, 1<<20).Draw(t, "files")
		a := NewAllotment(files, int64(rapid.IntRange(0, 1<<40).Draw(t, "memory")))
		require.LessOrEqual(t, a.Callers()+frontCount*a.Others()+a.Requests(), files-reservedFiles)
	})
}

// Guards against limits that callers of the smallest and of the largest VM reach.
func TestAllotmentOfUsualVMs(t *testing.T) {
	smallest := NewAllotment(2870, 136<<20)
	require.Equal(t, []int{1335, 166, 667}, []int{smallest.Callers(), smallest.Others(), smallest.Requests()})
	largest := NewAllotment(8192, 536<<20)
	require.Equal(t, []int{3996, 499, 1998}, []int{largest.Callers(), largest.Others(), largest.Requests()})
}

// Guards against connections whose headers use up the memory of a VM with many descriptors.
func TestCallersAreBoundedByMemory(t *testing.T) {
	require.Equal(t, 2176, NewAllotment(1<<20, 136<<20).Callers())
}
