package brborrower_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"
)

var netipAny = netip.MustParseAddr("10.0.0.1")

const (
	fleetSize = 11
	// requestInterval gives 90 requests per second, below the limit of 100.
	requestInterval = time.Second / 90
)

func TestOrganisationWithinItsRateOnOneVMIsNotRefused(t *testing.T) {
	testFleet(t, fleetSize, 2, "100", "50", time.Second, func(t *testing.T, f *fleet) {
		sent, refused := f.run(2*time.Minute, requestInterval, func(time.Duration) int { return 3 })
		t.Logf("one VM: %d of %d refused", refused, sent)
		require.Zero(t, refused)
	})
}

func TestOneVMCanUseWholeLimitOfThreePerMinute(t *testing.T) {
	testFleet(t, fleetSize, 2, "3", "3", time.Minute, func(t *testing.T, f *fleet) {
		time.Sleep(2 * time.Minute)
		for range 3 {
			require.True(t, f.vms[4].admits())
		}
		require.False(t, f.vms[4].admits())
	})
}

// While a failure domain is partitioned from the platform and the other failure
// domains, both sides admit requests from the capacity that they hold.
func TestPartitionedDomainServesItsFloors(t *testing.T) {
	testFleet(t, fleetSize, 2, "100", "50", time.Second, func(t *testing.T, f *fleet) {
		f.partitioned.Store("domain-1", true)
		time.Sleep(time.Minute)
		sent, refused := f.run(time.Minute, time.Second/10, func(time.Duration) int { return 1 })
		t.Logf("partitioned, 10 of 100 requests per second: %d of %d refused", refused, sent)
		require.Zero(t, refused)
		sent, refused = f.run(time.Minute, time.Second/45, func(time.Duration) int { return 2 })
		t.Logf("other domain, 45 of 100 requests per second: %d of %d refused", refused, sent)
		require.Zero(t, refused)
		f.partitioned.Delete("domain-1")
		time.Sleep(30 * time.Second)
		sent, refused = f.run(time.Minute, requestInterval, func(time.Duration) int { return 1 })
		t.Logf("partition healed, 90 of 100 requests per second: %d of %d refused", refused, sent)
		require.Zero(t, refused)
	})
}

// When the VM that holds the pool crashes, its capacity is reused once the lease has
// expired and another VM has observed the expiry.
func TestPoolOfCrashedVMIsReused(t *testing.T) {
	testFleet(t, 6, 1, "100", "50", time.Second, func(t *testing.T, f *fleet) {
		for _, v := range f.vms[:3] {
			v.crash()
			outage := time.Duration(0)
			f.runLastVM(time.Minute, time.Second/80, func(elapsed time.Duration, admitted bool) {
				if !admitted {
					outage = elapsed
				}
			})
			t.Logf("%s crashed at 80 of 100 requests per second: last refusal after %s", v.name, outage)
			require.Less(t, outage, 30*time.Second)
		}
	})
}

// Loans refuse fewer than a tenth of the requests that a fixed split of the limit
// refuses under the same traffic.
func TestFewerRefusalsThanFixedSplit(t *testing.T) {
	jump := func(elapsed time.Duration) int { return int(elapsed/(5*time.Second)) * 5 % fleetSize }
	one := func(time.Duration) int { return 3 }
	for name, place := range map[string]func(time.Duration) int{"one VM": one, "traffic moves every 5 s": jump} {
		testFleet(t, fleetSize, 2, "100", "50", time.Second, func(t *testing.T, f *fleet) {
			sent, refused := f.run(2*time.Minute, requestInterval, place)
			split := fixedSplit(2*time.Minute, requestInterval, place)
			t.Logf("%s: loans %d, fixed split %d of %d refused", name, refused, split, sent)
			require.Less(t, refused*10, split)
		})
	}
}

// fixedSplit returns the number of refusals if each VM permanently has an equal share
// of the limit.
func fixedSplit(d, interval time.Duration, place func(time.Duration) int) int {
	start := time.Now()
	buckets := [fleetSize]*brshare.Bucket{}
	for i := range buckets {
		buckets[i] = brshare.NewBucket(brshare.NewShare(100_000_000/fleetSize, time.Second, 50_000_000/fleetSize), start.Add(-time.Minute))
	}
	refused := 0
	for next := time.Duration(0); next < d; next += interval {
		if !buckets[place(next)].Take(1_000_000, start.Add(next)) {
			refused++
		}
	}
	return refused
}

// Table writes grow with the number of failure domains and VMs, not with the number of
// organisations or requests.
func TestTableWritesByVMsAndDomains(t *testing.T) {
	const span = 20 * time.Minute
	for _, size := range []struct{ vms, domains int }{{12, 2}, {24, 2}, {24, 4}} {
		testFleet(t, size.vms, size.domains, "100", "50", time.Second, func(t *testing.T, f *fleet) {
			time.Sleep(time.Minute)
			before := f.table.count()
			time.Sleep(span)
			writes := f.table.count() - before
			t.Logf("%d VMs, %d domains: %.4f writes per second", size.vms, size.domains, float64(writes)/span.Seconds())
			require.Less(t, writes, size.domains*int(span/(4*time.Second))+size.vms*12)
		})
	}
}
