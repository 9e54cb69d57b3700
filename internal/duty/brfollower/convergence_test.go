package brfollower_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// inForceLimit is the required limit, in fake time, for a change to reach all VMs.
const inForceLimit = 7 * time.Second

// Whatever faults occur, no VM returns to an older generation, and all VMs converge
// within the limit once the faults are removed.
func TestVMsConvergeAfterFaultsAndNeverRegress(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 3).Draw(rt, "domains")
		vmsEach := rapid.IntRange(1, 4).Draw(rt, "VMs")
		history := rapid.SliceOfN(steps(domains*vmsEach), 1, 20).Draw(rt, "history")
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = runHistory(newCluster(domains, vmsEach), history) })
		require.Empty(rt, violation)
	})
}

// step is one step of a random test run: a fault, a change or a repair.
type step struct {
	kind       int
	one, other int
	corrupt    int
	lost       int
	pause      time.Duration
}

func steps(vms int) *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:    rapid.IntRange(0, 8).Draw(t, "kind"),
			one:     rapid.IntRange(0, vms-1).Draw(t, "one"),
			other:   rapid.IntRange(0, vms-1).Draw(t, "other"),
			corrupt: rapid.IntRange(0, 3).Draw(t, "corrupt"),
			lost:    rapid.IntRange(0, 3).Draw(t, "lost"),
			pause:   time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond,
		}
	})
}

// runHistory runs a history and returns a description of the violation, or "".
func runHistory(c *cluster, history []step) string {
	c.start()
	defer c.stop()
	for _, s := range history {
		c.applyStep(s)
		time.Sleep(s.pause)
		if violation := c.regressed(); violation != "" {
			return violation
		}
	}
	c.heal()
	c.waitInForce(inForceLimit)
	if violation := c.regressed(); violation != "" {
		return violation
	}
	return c.lagging()
}

func (c *cluster) applyStep(s step) {
	one, other := c.vms[s.one], c.vms[s.other]
	switch s.kind {
	case 0, 1:
		c.accept(region(c.head.Generation()))
	case 2:
		c.setCut(one.name, other.name)
	case 3:
		c.cutFromTable(one.name)
	case 4:
		c.faults.SetDown(true)
	case 5:
		one.restart()
	case 6:
		c.setFaults(s.corrupt, s.lost)
	case 7:
		c.faults.SetDown(false)
		c.putHead(brdocument.Head{})
	case 8:
		c.heal()
	}
}

// regressed describes a VM whose generation is lower than before, or returns "".
func (c *cluster) regressed() string {
	for _, v := range c.vms {
		now := v.distributor.Generation()
		if now < v.highest {
			return fmt.Sprintf("%s returned from generation %d to %d", v.name, v.highest, now)
		}
		v.highest = now
	}
	return ""
}

func TestFailureDomainCutOffFromPlatformFetchesFromAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 5)
		c.start()
		defer c.stop()
		time.Sleep(inForceLimit)
		for _, v := range c.vms {
			if v.domain == "domain-0" {
				c.cutFromTable(v.name)
			}
		}
		c.accept(region(1))
		c.waitInForce(inForceLimit)
		require.Empty(t, c.lagging())
	})
}

func TestVMThatStartsWhilePlatformIsDownFetchesFromOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 5)
		c.start()
		defer c.stop()
		c.accept(region(1))
		c.waitInForce(inForceLimit)
		c.faults.SetDown(true)
		c.vms[0].restart()
		c.waitInForce(inForceLimit)
		require.Empty(t, c.lagging())
	})
}

// A VM that is further behind than the retained deltas fetches a snapshot.
func TestVMFarBehindFetchesSnapshotFromOtherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 3)
		c.start()
		defer c.stop()
		const changes = 1100
		for i := range uint64(changes) {
			c.accept(region(i))
		}
		c.waitInForce(time.Minute)
		c.faults.SetDown(true)
		c.vms[0].restart()
		c.waitInForce(inForceLimit)
		require.Empty(t, c.lagging())
		require.Equal(t, 1, c.vms[0].events.count(brevent.KindSnapshotInstalled))
	})
}

func TestRestoredHeadIsReportedAndNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 3)
		c.start()
		defer c.stop()
		c.accept(region(1))
		old := c.head
		c.accept(region(2))
		c.waitInForce(inForceLimit)
		time.Sleep(inForceLimit)
		c.putHead(old)
		time.Sleep(inForceLimit)
		require.Empty(t, c.lagging())
		require.Equal(t, 3, c.countReporting(brevent.KindHeadBehind), "all VMs poll, as none of them gets a confirmation")
	})
}

func TestBranchIsReportedAndNotMixed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 3)
		c.start()
		defer c.stop()
		c.accept(region(1))
		old := c.head
		c.accept(region(2))
		c.waitInForce(inForceLimit)
		kept := c.head
		c.head = old
		c.accept(region(3))
		c.accept(region(4))
		time.Sleep(inForceLimit)
		for _, v := range c.vms {
			require.Equal(t, kept.Generation(), v.distributor.Generation())
		}
		require.Equal(t, 3, c.countReporting(brevent.KindBranched), "all VMs poll, as none of them gets a confirmation")
	})
}

func (c *cluster) countReporting(kind brevent.Kind) int {
	count := 0
	for _, v := range c.vms {
		count += min(1, v.events.count(kind))
	}
	return count
}

// The read rate at the platform depends on the number of failure domains, not of VMs.
func TestReadsOfThePlatformDoNotGrowWithVMs(t *testing.T) {
	for _, vmsEach := range []int{4, 16, 64} {
		synctest.Test(t, func(t *testing.T) {
			const seconds = 60
			c := newCluster(2, vmsEach)
			c.start()
			defer c.stop()
			time.Sleep(inForceLimit)
			before := c.table.Reads()
			time.Sleep(seconds * time.Second)
			const pollers = 2 * 2
			require.InDelta(t, pollers*seconds, c.table.Reads()-before, pollers*seconds/4)
		})
	}
}

// VMs on two branches of the configuration see each other's generation in every
// message. They must neither mix the branches nor query each other endlessly.
func TestVMsOnTwoBranchesDoNotQueryEndlessly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 2)
		c.start()
		defer c.stop()
		c.accept(region(1))
		c.waitInForce(inForceLimit)
		old := c.head
		c.cutFromTable(c.vms[1].name)
		c.setCut(c.vms[0].name, c.vms[1].name)
		c.accept(region(2))
		time.Sleep(inForceLimit)
		c.head = old
		c.accept(region(3))
		c.accept(region(4))
		c.mutex.Lock()
		clear(c.tableCut)
		c.mutex.Unlock()
		time.Sleep(inForceLimit)
		c.heal()
		before := c.messages.Load()
		time.Sleep(inForceLimit)
		require.Equal(t, uint64(2), c.vms[0].distributor.Generation())
		require.Equal(t, uint64(3), c.vms[1].distributor.Generation())
		require.Less(t, c.messages.Load()-before, int64(500))
	})
}

// A delta with a flipped byte is rejected even if it can still be decoded.
func TestDamagedDeltaIsNotApplied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := encoded(t, brdocument.Head{}, "one")
		middle := brdocument.NewHead(1, "one", first)
		second := encoded(t, middle, "two")
		head := brdocument.NewHead(2, "two", second)
		deltas := [][]byte{first, second}
		_, err := brdocument.VerifyChain(brdocument.Head{}, head, deltas)
		require.NoError(t, err)
		which := rapid.IntRange(0, 1).Draw(t, "which")
		damaged := bytes.Clone(deltas[which])
		damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "where")] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		deltas[which] = damaged
		_, err = brdocument.VerifyChain(brdocument.Head{}, head, deltas)
		require.Error(t, err)
	})
}

func encoded(t require.TestingT, previous brdocument.Head, operation string) []byte {
	data, err := brdocument.EncodeDelta(brdocument.NewDelta(previous, operation, "test", []brconfig.Change{region(previous.Generation())}))
	require.NoError(t, err)
	return data
}

// VMs that are partitioned from all others poll the platform directly.
func TestVMsCutOffFromEachOtherPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 12)
		c.start()
		defer c.stop()
		time.Sleep(inForceLimit)
		for i, one := range c.vms {
			for _, other := range c.vms[:i] {
				c.setCut(one.name, other.name)
			}
		}
		c.accept(region(1))
		c.waitInForce(inForceLimit)
		require.Empty(t, c.lagging())
	})
}

// A snapshot older than the VM's configuration is not installed.
func TestOlderSnapshotIsNotInstalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 1)
		c.start()
		defer c.stop()
		c.accept(region(1))
		old := c.head
		c.accept(region(2))
		c.waitInForce(inForceLimit)
		state, err := c.vms[0].distributor.Install(t.Context(), old, brconfig.NewSnapshot())
		require.NoError(t, err)
		require.Equal(t, c.head, state.Head())
	})
}
