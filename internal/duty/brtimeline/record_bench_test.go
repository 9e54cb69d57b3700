package brtimeline_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

// BenchmarkRecord measures the time to record events and the live heap that they retain.
func BenchmarkRecord(b *testing.B) {
	for _, events := range []int{1000, 4000, 8000} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			clock := brclock.NewSystem()
			for range b.N {
				before := liveHeap()
				timeline := brtimeline.New("vm-1", "domain", clock)
				group := brduty.NewGroup(context.Background(), clock, brobserver.Nop{})
				group.Start(timeline.Duty())
				for i := range events {
					timeline.Record(brevent.New(brevent.KindRequestAnswered).WithRequest(fmt.Sprint(i)))
				}
				_, err := timeline.Read(context.Background(), 0, 1)
				require.NoError(b, err)
				b.ReportMetric(liveHeap()-before, "heap-B")
				group.Stop()
			}
		})
	}
}

// liveHeap returns the size of the heap after a garbage collection, in bytes.
func liveHeap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
