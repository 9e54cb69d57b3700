package brplacement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

// A failure domain comes back from an evacuation. Its servers have become cold just before,
// and say so only with their next reports: until then they are listed as warm, or, after a
// network partition, are not listed yet.
func TestServersAfterEvacuationAreTreatedAsCold(t *testing.T) {
	const (
		vms          = 10
		maxPerSecond = 2.6*1.5 + 5
		coldTime     = 3 * time.Second
	)
	registered := []brfleet.VM{}
	for i := range vms {
		registered = append(registered, brfleet.NewVM(fmt.Sprintf("vm-%d", i), "", "").WithLocation("a-1", "a"))
	}
	list := servers(12)
	domain := list[0].Domain()
	listed := []brfleet.Server{}
	for _, s := range list {
		if s.Domain() != domain {
			listed = append(listed, s)
		}
	}
	placers := []*brplacement.Placer{}
	for i := range vms {
		p := newPlacer(registered[i].Name(), "a", view(list, registered, nil))
		p.Update(start, view(list, registered, nil, domain))
		if i%2 == 0 {
			p.Update(start, view(listed, registered, nil, domain))
			p.Update(start, view(listed, registered, nil))
		}
		p.Update(start.Add(time.Second), view(list, registered, nil))
		placers = append(placers, p)
	}
	sent := map[string]map[int]int{}
	for elapsed := time.Second; elapsed < coldTime; elapsed += 10 * time.Millisecond {
		for i, p := range placers {
			choice, ok := p.Pick(start.Add(elapsed), newQuery(fmt.Sprint(i, elapsed), fmt.Sprint(i, elapsed)))
			if !ok || choice.Server().Domain() != domain {
				continue
			}
			if sent[choice.Server().ID()] == nil {
				sent[choice.Server().ID()] = map[int]int{}
			}
			sent[choice.Server().ID()][int(elapsed/time.Second)]++
			p.RecordOutcome(start.Add(elapsed), answered(choice.Server().ID()))
		}
	}
	require.NotEmpty(t, sent, "the domain gets some requests")
	for id, seconds := range sent {
		for second, count := range seconds {
			require.LessOrEqual(t, float64(count), maxPerSecond, "%s in second %d", id, second)
		}
	}
}
