package brliveness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brliveness"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// fleet is a set of VMs of one failure domain that ping each other in fake time.
type fleet struct {
	now     time.Time
	names   []string
	views   map[string]*brliveness.View
	crashed map[string]bool
}

func newFleet(size int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), views: map[string]*brliveness.View{}, crashed: map[string]bool{}}
	members := []brmember.Member{}
	for i := range size {
		f.names = append(f.names, fmt.Sprintf("vm-%d", i))
		members = append(members, brmember.New(f.names[i], "a", f.names[i]))
	}
	for _, name := range f.names {
		f.views[name] = brliveness.NewView(name, "a", 1, f.now)
		f.views[name].SetMembers(brmember.NewList(members))
	}
	return f
}

// round runs one round of pings on each running VM. The lost function decides whether
// a ping is lost.
func (f *fleet) round(lost func() bool) {
	f.now = f.now.Add(time.Second)
	for _, name := range f.names {
		if f.crashed[name] {
			continue
		}
		v := f.views[name]
		v.Advance(f.now)
		for _, target := range v.Targets() {
			ping := v.Ping(target.Name(), 0)
			if f.crashed[target.Name()] || lost() {
				v.RecordMiss(f.now, target.Name())
				continue
			}
			f.views[target.Name()].Receive(f.now, ping)
			v.Receive(f.now, f.views[target.Name()].Ping(name, 0))
		}
	}
}

func (f *fleet) state(viewer, name string) brmember.State {
	for _, m := range f.views[viewer].Members().All() {
		if m.Name() == name {
			return m.State()
		}
	}
	return brmember.StateAlive
}

func never() bool { return false }

const settleRounds = 30

func TestCrashedVMIsDeclaredDeadAndOthersStayAlive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(4, 12).Draw(t, "VMs"))
		for range rapid.IntRange(0, 15).Draw(t, "lossy rounds") {
			f.round(func() bool { return rapid.IntRange(0, 4).Draw(t, "lost") == 0 })
		}
		f.crashed["vm-0"] = true
		for range settleRounds {
			f.round(never)
		}
		for _, viewer := range f.names[1:] {
			require.Equal(t, brmember.StateDead, f.state(viewer, "vm-0"))
			for _, other := range f.names[1:] {
				require.Equal(t, brmember.StateAlive, f.state(viewer, other), "state of %s in the view of %s", other, viewer)
			}
		}
	})
}

func TestFalseReportOfOneObserverDeclaresNobodyDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(4, 12).Draw(t, "VMs"))
		for range settleRounds {
			f.round(never)
			falseReport := brmember.NewChange("vm-0", 1, brmember.StateDead, "vm-1")
			f.views["vm-2"].Receive(f.now, brmember.NewPing("vm-1", 1, 0, false, []brmember.Change{falseReport}))
			for _, viewer := range f.names[1:] {
				require.NotEqual(t, brmember.StateDead, f.state(viewer, "vm-0"))
			}
		}
	})
}

func TestLeavingVMIsSeenAsLeftWithinThreeRounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(3, 40).Draw(t, "VMs"))
		f.round(never)
		f.views["vm-0"].Leave()
		for range 3 {
			f.round(never)
		}
		for _, viewer := range f.names {
			require.Equal(t, brmember.StateLeft, f.state(viewer, "vm-0"))
		}
	})
}
