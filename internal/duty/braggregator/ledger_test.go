package braggregator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	revision   = 7
	vmCount    = 4
	roundCount = 3
)

// region is the VMs of a region, of which the first reads the store.
type region struct {
	clock *brclock.Fake
	vms   []*Aggregator
}

func newRegion() *region {
	r := &region{clock: brclock.NewFake(time.Unix(1000, 0))}
	for i := range vmCount {
		r.vms = append(r.vms, nil)
		r.start(i)
	}
	return r
}

// start starts a VM, or restarts it after it was killed.
func (r *region) start(number int) {
	vm := brfleet.NewVM(fmt.Sprint("vm-", number), "", "").WithLocation("n-a", "north")
	r.vms[number] = New(r.clock, vm)
	r.handle(number, message{kind: kindLeader, isLeader: number == 0})
	r.handle(number, message{kind: kindRollouts, rollouts: map[brrecord.Revision]Rollout{revision: NewRollout(time.Second, false)}})
}

func (r *region) handle(number int, m message) { r.vms[number].handler.Handle(context.Background(), m) }

// sync lets all VMs report to the reader and take over its status.
func (r *region) sync() {
	r.clock.Advance(200 * time.Millisecond)
	reader := r.vms[0]
	for i := 1; i < vmCount; i++ {
		r.vms[i].handler.recompute(r.clock.Now())
		own := r.vms[i].Summary().Own()
		r.handle(0, message{kind: kindReport, name: fmt.Sprint("vm-", i), region: "north", status: own})
	}
	reader.handler.recompute(r.clock.Now())
	for i := 1; i < vmCount; i++ {
		r.handle(i, message{kind: kindFleet, status: reader.Summary().Fleet(), asOf: r.clock.Now()})
	}
}

// Guards against VMs that restart in turn, the reader among them, and forget the answers of a
// version on trial, so that it succeeds (EXPOSURE, review case 8). Counts that VMs pass back
// to the one that restarted count once.
func TestTalliesSurviveRestartsInTurn(t *testing.T) {
	r := newRegion()
	counted := uint64(0)
	for range roundCount {
		for i := range vmCount {
			r.handle(i, message{kind: kindTallies, tallies: map[brrecord.Revision]brstatus.Tally{revision: brstatus.NewTally(0, 2, 0, 0)}})
			counted += 2
			r.sync()
			r.sync()
			r.start(i)
			r.sync()
			r.sync()
			for n, vm := range r.vms {
				require.Equal(t, counted, vm.Summary().Fleet().Tally(revision).TargetBad(), "VM %d", n)
			}
		}
	}
}

// Once a rollout has ended, its counts are no longer kept or taken over.
func TestTalliesOfEndedRolloutsAreDropped(t *testing.T) {
	r := newRegion()
	r.handle(1, message{kind: kindTallies, tallies: map[brrecord.Revision]brstatus.Tally{revision: brstatus.NewTally(0, 2, 0, 0)}})
	r.sync()
	r.sync()
	r.handle(0, message{kind: kindRollouts, rollouts: map[brrecord.Revision]Rollout{revision: NewRollout(time.Second, true)}})
	r.sync()
	require.Empty(t, r.vms[0].Summary().Fleet().Ledger())
	require.NotEmpty(t, r.vms[1].Summary().Fleet().Ledger())
}
