package brentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// Usage arrives at another VM as it was sent, and a status without usage has no field for it.
func TestUsageIsEncodedCompletely(t *testing.T) {
	at := time.UnixMilli(1_767_225_600_123)
	usage := brmeter.NewUsage("run-1", []brmeter.Counts{
		brmeter.NewCounts("vm-1", "run-1", 353_445_120, true, map[string]uint64{"yefi": 412, "kaxa": 1}),
		brmeter.NewCounts("vm-2", "run-2", 353_445_121, false, map[string]uint64{"yefi": 7}),
	}).WithTimes(at, at.Add(time.Second))
	status := brstatus.New([]string{"vm-1"}, nil, nil)
	require.Equal(t, usage, decodeStatus(encodeStatus(status.WithUsage(usage))).Usage())
	require.Nil(t, encodeStatus(status).Usage)
	require.Equal(t, brmeter.Usage{}, decodeStatus(encodeStatus(status)).Usage())
}

// Counts that refer to an organisation that is not listed are dropped, and nothing fails.
func TestOddUsageIsDropped(t *testing.T) {
	usage := decodeUsage(&brentrypb.UsageMessage{Run: "run", Organisations: []string{"a"}, Counts: []*brentrypb.UsageCounts{
		{Vm: "vm-1", Organisations: []uint32{0, 7}, Counts: []uint64{3, 4}},
		{Vm: "vm-2", Counts: []uint64{3}},
		{Vm: "vm-3", Organisations: []uint32{0}},
	}})
	require.Equal(t, map[string]uint64{"a": 3}, usage.Counts()[0].Counts())
	require.Empty(t, usage.Counts()[1].Counts())
	require.Empty(t, usage.Counts()[2].Counts())
}

// BenchmarkUsageBytes measures messages of 87 VMs in 3 regions with 2,000 requests a second of
// 86 organisations: what a VM reports each 0.4 s, and what a region sends to another one each 1.2 s.
func BenchmarkUsageBytes(b *testing.B) {
	const (
		organisations  = 86
		regionVMs      = 29
		vmPeriod       = 0.4 // seconds
		vmRequests     = 9   // in vmPeriod
		regionPeriod   = 1.2 // seconds
		regionRequests = 28  // of one VM in regionPeriod
	)
	cells := func(vm, requests int) brmeter.Counts {
		counts := map[string]uint64{}
		for i := range requests {
			counts[fmt.Sprintf("yefi%03d", (vm*31+i*37)%organisations)] = 2
		}
		return brmeter.NewCounts(fmt.Sprint("edge-mvd-a-", vm), fmt.Sprintf("ABCDEFGH%02d", vm), 353_445_120, false, counts)
	}
	size := func(list []brmeter.Counts) float64 {
		usage := brmeter.NewUsage("ABCDEFGHIJ", list).WithTimes(time.UnixMilli(1_767_225_600_123), time.Time{})
		return float64(proto.Size(encodeUsage(usage)))
	}
	report, exchange := 0.0, 0.0
	for b.Loop() {
		report = size([]brmeter.Counts{cells(1, vmRequests)})
		list := []brmeter.Counts{}
		for vm := range regionVMs {
			list = append(list, cells(vm, regionRequests))
		}
		exchange = size(list)
	}
	b.ReportMetric(report/vmPeriod, "report-B/s")
	b.ReportMetric(exchange/regionPeriod, "exchange-B/s")
}
