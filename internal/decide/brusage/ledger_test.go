package brusage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

// reporter is a VM that reports to another one.
type reporter struct {
	ledger *brusage.Ledger
	cursor brusage.Cursor
}

// Counts reach the VM that reads the store although messages are lost, responses are lost,
// messages arrive twice or late, and the receiver restarts or changes. Guards against requests
// that count twice or are forgotten.
func TestCountsArriveOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		runs := 0
		newLedger := func(vm string) *brusage.Ledger {
			runs++
			return brusage.NewLedger(vm, fmt.Sprint("run-", runs))
		}
		vms := []*reporter{{ledger: newLedger("vm-1")}, {ledger: newLedger("vm-2")}, {ledger: newLedger("vm-3")}}
		receivers := []*brusage.Ledger{newLedger("reader-1"), newLedger("reader-2")}
		expected := map[int64]map[string]uint64{100: {}, 101: {}}
		delayed := []brmeter.Usage{}
		report := func(vm *reporter, target int, messageLost, responseLost bool) {
			usage := vm.cursor.Next(now, fmt.Sprint("reader-", target), vm.ledger.Snapshot(), time.Second)
			delayed = append(delayed, usage)
			if messageLost {
				vm.cursor.Fail()
				return
			}
			merge(receivers[target], usage)
			if responseLost {
				vm.cursor.Fail()
				return
			}
			vm.cursor.Confirm(receivers[target].Snapshot().Run())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(400 * time.Millisecond)
			vm := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			target := rapid.IntRange(0, 1).Draw(t, "target")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				window := int64(rapid.IntRange(100, 101).Draw(t, "window"))
				organisation := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")
				vm.ledger.Add(window, organisation)
				expected[window][organisation]++
			case 2:
				report(vm, target, rapid.Bool().Draw(t, "message lost"), rapid.Bool().Draw(t, "response lost"))
			case 3:
				if len(delayed) > 0 {
					merge(receivers[target], rapid.SampledFrom(delayed).Draw(t, "repeated"))
				}
			case 4:
				receivers[target] = newLedger(fmt.Sprint("reader-", target))
			}
		}
		// Two messages suffice: the first response may tell that the receiver has restarted.
		for range 2 {
			now = now.Add(2 * time.Second)
			for _, vm := range vms {
				report(vm, 0, false, false)
			}
		}
		for window, counts := range expected {
			total, _ := receivers[0].Snapshot().Total(window)
			require.Equal(t, counts, total)
		}
	})
}

func merge(ledger *brusage.Ledger, usage brmeter.Usage) {
	for _, counts := range usage.Counts() {
		ledger.Merge(counts, true)
	}
}

// A VM is sent only what it doesn't have. Guards against messages that grow with the window.
func TestConfirmedCountsAreNotSentAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := brusage.NewLedger("vm-1", "run-1")
	cursor := brusage.Cursor{}
	ledger.Add(100, "a")
	ledger.Add(100, "b")
	require.Len(t, cursor.Next(now, "reader", ledger.Snapshot(), time.Second).Counts(), 1)
	cursor.Confirm("run-2")
	ledger.Add(100, "b")
	require.Empty(t, cursor.Next(now.Add(400*time.Millisecond), "reader", ledger.Snapshot(), time.Second).Counts(), "once a period")
	cursor.Confirm("run-2")
	counts := cursor.Next(now.Add(time.Second), "reader", ledger.Snapshot(), time.Second).Counts()
	require.Equal(t, []brmeter.Counts{brmeter.NewCounts("vm-1", "run-1", 100, false, map[string]uint64{"b": 2})}, counts)
	cursor.Confirm("run-2")
	require.Empty(t, cursor.Next(now.Add(2*time.Second), "reader", ledger.Snapshot(), time.Second).Counts())
}

// What a VM got from another region is not passed on, or it would come back.
func TestCountsOfOtherRegionsAreNotPassedOn(t *testing.T) {
	ledger := brusage.NewLedger("reader", "run-1")
	ledger.Merge(brmeter.NewCounts("vm-1", "run-2", 100, true, map[string]uint64{"a": 3}), false)
	require.Empty(t, ledger.Snapshot().Since(0))
	ledger.Merge(brmeter.NewCounts("vm-2", "run-3", 100, true, map[string]uint64{"a": 4}), true)
	require.Len(t, ledger.Snapshot().Since(0), 1)
	total, known := ledger.Snapshot().Total(100)
	require.True(t, known)
	require.Equal(t, map[string]uint64{"a": 7}, total)
}

// A window is complete once all runs that completed the one before, or counted in it, have
// completed it. Guards against a report that misses the counts of a VM that is cut off for a
// moment.
func TestWindowIsCompleteOnceAllHaveCompletedIt(t *testing.T) {
	ledger := brusage.NewLedger("reader", "run-1")
	ledger.Close(99)
	ledger.Merge(brmeter.NewCounts("vm-2", "run-2", 99, true, nil), true)
	ledger.Merge(brmeter.NewCounts("vm-3", "run-3", 99, false, nil), true)
	check := func(window int64, expectedMissing, expectedRuns int, message string) {
		missing, expected := ledger.Snapshot().Missing(window)
		require.Equal(t, []int{expectedMissing, expectedRuns}, []int{missing, expected}, message)
	}
	check(99, 1, 3, "vm-3 has not completed it")
	ledger.Close(100)
	check(100, 1, 2, "vm-2 completed the one before")
	ledger.Merge(brmeter.NewCounts("vm-2", "run-2", 100, true, nil), true)
	check(100, 0, 2, "vm-3 has died in the one before")
	check(103, 0, 0, "nothing is known of it")
}

// A published snapshot must not change with the ledger.
func TestSnapshotIsImmutable(t *testing.T) {
	ledger := brusage.NewLedger("vm-1", "run-1")
	ledger.Add(100, "a")
	before := ledger.Snapshot()
	ledger.Add(100, "a")
	ledger.Add(100, "b")
	total, _ := before.Total(100)
	require.Equal(t, map[string]uint64{"a": 1}, total)
}

// Windows that are too old, or far ahead because another VM's clock is wrong, don't stay.
func TestPruneBoundsWindows(t *testing.T) {
	ledger := brusage.NewLedger("vm-1", "run-1")
	for window := range int64(200) {
		ledger.Add(window, "a")
	}
	ledger.Prune(100)
	first, known := ledger.Snapshot().First()
	require.True(t, known)
	require.Less(t, int64(85), first)
	_, ahead := ledger.Snapshot().Total(102)
	require.False(t, ahead)
}
