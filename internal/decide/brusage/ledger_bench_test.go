package brusage_test

import (
	"fmt"
	"testing"

	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

// BenchmarkSnapshot measures a VM that has the counts of a fleet for all retained windows: the
// publication of a change, and the check and the sum of one window.
func BenchmarkSnapshot(b *testing.B) {
	const (
		windows       = 13
		organisations = 60 // with requests at one VM in one window
	)
	for _, vms := range []int{87, 6400} {
		ledger := brusage.NewLedger("vm-0", "run-0")
		for vm := range vms {
			for window := range windows {
				counts := map[string]uint64{}
				for i := range organisations {
					counts[fmt.Sprint("organisation-", i)] = 2
				}
				ledger.Merge(brmeter.NewCounts(fmt.Sprint("vm-", vm+1), fmt.Sprint("run-", vm+1), int64(window), true, counts), true)
			}
		}
		b.Run(fmt.Sprintf("publish/vms=%d", vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ledger.Add(windows-1, "organisation-1")
				_ = ledger.Snapshot()
			}
		})
		snapshot := ledger.Snapshot()
		b.Run(fmt.Sprintf("missing/vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				_, _ = snapshot.Missing(windows - 1)
			}
		})
		b.Run(fmt.Sprintf("total/vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				_, _ = snapshot.Total(windows - 1)
			}
		})
	}
}
