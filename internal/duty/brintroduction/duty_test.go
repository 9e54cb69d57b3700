package brintroduction

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/duty/braggregator"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

// fakePeers are the other VMs, of which one does not respond.
type fakePeers struct {
	silent string
	asked  []string
}

func (f *fakePeers) Exchange(_ context.Context, address, _ string, _ brstatus.Status) (string, brstatus.Status, error) {
	f.asked = append(f.asked, address)
	if address == f.silent {
		return "", brstatus.Status{}, errors.New("connection refused")
	}
	return "north", brstatus.New(nil, nil, nil), nil
}

// Guards against a VM that reads the store at once, reports to no other VM and knows nothing
// of what they have learned (BUDGET, review case 9). It asks until three have responded, those
// of its region first, and stops looking after a time.
func TestStartingVMAsksOthers(t *testing.T) {
	clock, peers := brclock.NewFake(time.Unix(1000, 0)), &fakePeers{silent: "c"}
	vms := []brfleet.VM{}
	for name, region := range map[string]string{"a": "north", "b": "north", "c": "north", "d": "south", "e": "south"} {
		vms = append(vms, brfleet.NewVM(name, "", name).WithLocation("", region))
	}
	self := brfleet.NewVM("b", "", "b").WithLocation("", "north")
	h := &handler{
		self: self, aggregator: braggregator.New(clock, self), client: peers, journal: brjournal.New(clock, "b", io.Discard),
		view: &brfleet.View{}, asked: brset.New[string](), end: clock.Now().Add(searchTime),
	}
	_, needed := h.Due(clock.Now())
	require.False(t, needed, "no VM is registered yet")
	h.Update(t.Context(), brfleet.NewView(brfleet.Policy{}, nil, vms, nil, brset.New[string]()))
	for {
		if _, needed := h.Due(clock.Now()); !needed {
			break
		}
		h.Tick(t.Context(), clock.Now())
	}
	require.Equal(t, []string{"c", "a", "d", "e"}, peers.asked)
	h.responded, h.asked = 0, brset.New[string]()
	_, needed = h.Due(clock.Now().Add(searchTime))
	require.False(t, needed)
}
