package brfollower_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkInForce measures, in fake time, how long an accepted change takes to
// reach all VMs, and how many bytes a VM sends meanwhile and while nothing changes.
func BenchmarkInForce(b *testing.B) {
	for _, vms := range []int{10, 50, 100, 200, 400} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			result := measurement{}
			b.ResetTimer()
			for range b.N {
				result = measure(vms)
			}
			b.ReportMetric(result.median.Seconds(), "median-s")
			b.ReportMetric(result.worst.Seconds(), "worst-s")
			b.ReportMetric(result.reads, "reads/s")
			b.ReportMetric(result.idle, "idle-B/s/VM")
			b.ReportMetric(result.change, "change-B/VM")
		})
	}
}

type measurement struct {
	median, worst       time.Duration
	reads, idle, change float64
}

func measure(vms int) measurement {
	const (
		domains = 4
		changes = 50
		quiet   = 30 * time.Second
	)
	result := measurement{}
	test := func(*testing.T) {
		c := newCluster(domains, (vms+domains-1)/domains)
		c.vms = c.vms[:vms]
		c.start()
		defer c.stop()
		time.Sleep(2 * inForceLimit)
		reads, sent := c.table.Reads(), c.bytes.Load()
		time.Sleep(quiet)
		result.reads = float64(c.table.Reads()-reads) / quiet.Seconds()
		idlePerSecond := float64(c.bytes.Load()-sent) / quiet.Seconds()
		result.idle = idlePerSecond / float64(vms)
		times := []time.Duration{}
		began, sent := time.Now(), c.bytes.Load()
		for i := range uint64(changes) {
			c.accept(region(i))
			times = append(times, c.waitInForce(time.Minute))
			// Distribute the changes over the whole period of the pollers.
			time.Sleep(time.Duration(i*37%1000) * time.Millisecond)
		}
		extra := float64(c.bytes.Load()-sent) - idlePerSecond*time.Since(began).Seconds()
		result.change = extra / changes / float64(vms)
		slices.Sort(times)
		result.median, result.worst = times[len(times)/2], times[len(times)-1]
	}
	testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "measure", F: func(t *testing.T) { synctest.Test(t, test) },
	}})
	return result
}
