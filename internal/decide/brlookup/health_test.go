package brlookup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brlookup"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

func TestLookupsExcludeUnavailableVMsWhileOthersAreAvailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		changes := siteChanges(3)
		members := []brmember.Member{}
		excluded := map[string]bool{}
		for i := range rapid.IntRange(1, 9).Draw(t, "VMs") {
			name := fmt.Sprintf("n%d", i)
			changes = append(changes, brconfig.Put(brconfig.NewVM(brconfig.NewMeta(name), fmt.Sprintf("site-%d", i%3), name, name)))
			state := rapid.SampledFrom([]brmember.State{brmember.StateAlive, brmember.StateDead, brmember.StateLeft}).Draw(t, "state")
			members = append(members, brmember.New(name, "domain", name).WithState(state))
			drained := rapid.IntRange(0, 3).Draw(t, "drained") == 0
			if drained {
				target := brconfig.NewReference(brconfig.KindVM, name)
				changes = append(changes, brconfig.Put(brconfig.NewDrain(brconfig.NewMeta("drain-"+name), target, now, now)))
			}
			excluded[name] = drained || state != brmember.StateAlive
		}
		snapshot := apply(t, brconfig.NewSnapshot(), changes)
		health := brlookup.NewHealthTracker()
		health.Configure(snapshot)
		health.Observe(brmember.NewList(members))
		availability, _ := health.Evaluate(now)
		vms := brlookup.NewLocator(snapshot).WithAvailability(availability).Locate(drawClient(t)).VMs()
		require.NotEmpty(t, vms)
		usable := 0
		for _, u := range excluded {
			if !u {
				usable++
			}
		}
		for _, v := range vms {
			require.True(t, usable == 0 || !excluded[v.Name()], "%s is returned", v.Name())
		}
	})
}
