package brborrower_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTableWrites measures, on a fake clock, the rate of table writes by the duties
// that divide rate limits among VMs.
func BenchmarkTableWrites(b *testing.B) {
	for _, domains := range []int{1, 2, 4} {
		b.Run(fmt.Sprintf("domains=%d", domains), func(b *testing.B) { reportWrites(b, 24, domains) })
	}
	for _, vms := range []int{6, 12, 24} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) { reportWrites(b, vms, 2) })
	}
}

func reportWrites(b *testing.B, vms, domains int) {
	const span = 20 * time.Minute
	writes := 0
	test := func(t *testing.T) {
		testFleet(t, vms, domains, "100", "50", time.Second, func(_ *testing.T, f *fleet) {
			time.Sleep(time.Minute)
			before := f.table.count()
			time.Sleep(span)
			writes = f.table.count() - before
		})
	}
	for range b.N {
		testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "writes", F: test}})
	}
	b.ReportMetric(float64(writes)/span.Seconds(), "writes/s")
}
