package brfairqueue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brfairqueue"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

type entry struct {
	organisation string
	number       int
	deadline     time.Time
}

// Each pushed item leaves the queue exactly once: popped, expired or displaced. Pop keeps
// the order within an organisation, the length stays bounded, and an organisation never
// displaces items of one that has fewer waiting relative to its weight.
func TestEachItemLeavesTheQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		queue := brfairqueue.New[entry, brfairqueue.Weighted](capacity)
		weights := map[string]int{"a": 1, "b": 2, "c": 5}
		held := map[string][]entry{}
		now, number := start, 0
		removeEntry := func(e entry) {
			before := len(held[e.organisation])
			held[e.organisation] = slices.DeleteFunc(held[e.organisation], func(other entry) bool { return other == e })
			require.Equal(t, before-1, len(held[e.organisation]), "%v left twice", e)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				number++
				organisation := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")
				e := entry{organisation, number, now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds to deadline")) * time.Second)}
				displaced, err := queue.Push(brfairqueue.NewItem(organisation, weights[organisation], e.deadline, e))
				if brfairqueue.IsErrFull(err) {
					require.Equal(t, capacity, queue.Len())
					return
				}
				require.NoError(t, err)
				held[organisation] = append(held[organisation], e)
				if item, ok := displaced.Get(); ok {
					other := item.Organisation()
					require.NotEqual(t, organisation, other)
					require.Greater(t, len(held[other])*weights[organisation], len(held[organisation])*weights[other])
					removeEntry(item.Value())
				}
			},
			"pop": func(t *rapid.T) {
				item, ok := queue.Pop().Get()
				require.Equal(t, len(held["a"])+len(held["b"])+len(held["c"]) > 0, ok)
				if ok {
					require.Equal(t, held[item.Organisation()][0], item.Value(), "out of order")
					removeEntry(item.Value())
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
				for _, item := range queue.Expire(now) {
					require.False(t, now.Before(item.Deadline()))
					removeEntry(item.Value())
				}
				for _, items := range held {
					for _, e := range items {
						require.True(t, now.Before(e.deadline), "%v waits too long", e)
					}
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, queue.Len(), capacity)
				require.Equal(t, len(held["a"])+len(held["b"])+len(held["c"]), queue.Len())
			},
		})
	})
}

// Organisations that always have waiting items are served in proportion to their weights,
// to within one round, at any time.
func TestBackloggedOrganisationsAreServedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 7), 2, 6).Draw(t, "weights")
		queue := brfairqueue.New[int, brfairqueue.Weighted](10_000)
		served := make([]int, len(weights))
		queued := make([]int, len(weights))
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			for o, weight := range weights {
				for queued[o] < 8 {
					_, err := queue.Push(brfairqueue.NewItem(fmt.Sprint(o), weight, time.Time{}, o))
					require.NoError(t, err)
					queued[o]++
				}
			}
			item, ok := queue.Pop().Get()
			require.True(t, ok)
			served[item.Value()]++
			queued[item.Value()]--
			for o := range weights {
				for p := range weights {
					// The numbers of rounds of two organisations differ by at most one.
					require.LessOrEqual(t, served[o]/weights[o], (served[p]+weights[p]-1)/weights[p]+1)
				}
			}
		}
	})
}

// The backlog of one organisation does not delay the others with Weighted; with
// ArrivalOrder it does.
func TestNoisyOrganisationDelaysNobodyElse(t *testing.T) {
	require.Equal(t, 1, popsUntilServed[brfairqueue.Weighted](t))
	require.Equal(t, 100, popsUntilServed[brfairqueue.ArrivalOrder](t))
}

func popsUntilServed[P brfairqueue.Policy](t *testing.T) int {
	t.Helper()
	queue := brfairqueue.New[int, P](1000)
	for range 100 {
		_, err := queue.Push(brfairqueue.NewItem("noisy", 1, time.Time{}, 0))
		require.NoError(t, err)
	}
	_, err := queue.Push(brfairqueue.NewItem("quiet", 1, time.Time{}, 0))
	require.NoError(t, err)
	for pops := 0; ; pops++ {
		item, ok := queue.Pop().Get()
		require.True(t, ok)
		if item.Organisation() == "quiet" {
			return pops
		}
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, organisations := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			queue := brfairqueue.New[int, brfairqueue.Weighted](1024)
			items := make([]brfairqueue.Item[int], organisations)
			for o := range items {
				items[o] = brfairqueue.NewItem(fmt.Sprint(o), 1, time.Time{}, o)
				for range 512 / organisations {
					_, _ = queue.Push(items[o])
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = queue.Push(items[i%organisations])
				queue.Pop()
			}
		})
	}
}
