package brfinding_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brfinding"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlabel"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// base is a configuration without faults.
func base() []brconfig.Resource {
	meta := brconfig.NewMeta
	return []brconfig.Resource{
		brconfig.NewRegion(meta("north")),
		brconfig.NewDomain(meta("n-1"), "north"),
		brconfig.NewRegion(meta("south")),
		brconfig.NewDomain(meta("s-1"), "south"),
		brconfig.NewService(meta("one")),
		brconfig.NewServer(meta("s"), "one", "n-1", "10.0.0.1:80", 4),
		brconfig.NewRoute(meta("r"), "one", "/r"),
		brconfig.NewOrganisation(meta("o")),
		brconfig.NewKey(meta("k"), "o", "0000"),
		brconfig.NewUnit(meta("u"), brunit.New(2, 1)),
	}
}

// Resources are accepted and never take effect. Each fault must be found, and nothing else
// reported beside it.
func TestSnapshotFindings(t *testing.T) {
	const fault, warning = brfinding.SeverityError, brfinding.SeverityWarning
	meta := brconfig.NewMeta
	one := brunit.New(1, 1)
	weights := func(selects brconfig.Kind, list ...brconfig.Weight) brconfig.Selector {
		return brconfig.NewSelector(meta("sel"), selects, brlabel.NewExpression(), 0, brconfig.NewWeightsEffect(list...))
	}
	for _, c := range []struct {
		name      string
		resources []brconfig.Resource
		want      []found
	}{
		{name: "no faults", resources: []brconfig.Resource{
			brconfig.NewRoute(meta("get"), "one", "/r").WithMethods("GET"),
			brconfig.NewRoute(meta("longer"), "one", "/r/x"),
			weights(brconfig.KindRoute, brconfig.NewWeight(brconfig.TargetRegion, "north", one)),
			brconfig.NewContract(meta("c"), "o", "u", one, time.Second, brunit.New(2, 1)),
		}},
		{name: "equal prefix", resources: []brconfig.Resource{brconfig.NewRoute(meta("z"), "one", "/r")}, want: []found{{fault, brfinding.CodeShadowed, "route/z", "pathPrefix"}}},
		{name: "equal prefix and methods", resources: []brconfig.Resource{
			brconfig.NewRoute(meta("y"), "one", "/r").WithMethods("GET", "PUT"),
			brconfig.NewRoute(meta("z"), "one", "/r").WithMethods("PUT"),
		}, want: []found{{fault, brfinding.CodeShadowed, "route/z", "methods"}}},
		{name: "service without server", resources: []brconfig.Resource{
			brconfig.NewService(meta("two")), brconfig.NewRoute(meta("z"), "two", "/z"),
			brconfig.NewServer(meta("t"), "two", "n-1", "10.0.0.2:80", 1).WithState(brconfig.ServerLeaving),
		}, want: []found{{fault, brfinding.CodeServiceWithoutServer, "route/z", "service"}}},
		{name: "selector without match", resources: []brconfig.Resource{
			brconfig.NewSelector(meta("sel"), brconfig.KindRoute, brlabel.NewExpression(brlabel.NewRequirement("tier", brlabel.OperatorExists)), 0, brconfig.NewCapEffect(one)),
		}, want: []found{{warning, brfinding.CodeNeverMatches, "selector/sel", "where"}}},
		{name: "weight of 0", resources: []brconfig.Resource{
			weights(brconfig.KindRoute, brconfig.NewWeight(brconfig.TargetRegion, "north", one), brconfig.NewWeight(brconfig.TargetRegion, "south", brunit.New(0, 1))),
		}, want: []found{{warning, brfinding.CodeWeightZero, "selector/sel", "effect.weights"}}},
		{name: "target without server", resources: []brconfig.Resource{
			weights(brconfig.KindRoute, brconfig.NewWeight(brconfig.TargetDomain, "s-1", one)),
		}, want: []found{{fault, brfinding.CodeRegionWithoutServer, "selector/sel", "effect.weights"}}},
		{name: "no key", resources: []brconfig.Resource{brconfig.NewOrganisation(meta("p"))}, want: []found{{warning, brfinding.CodeKeyMissing, "organisation/p", ""}}},
		{name: "burst below one request", resources: []brconfig.Resource{
			brconfig.NewContract(meta("c"), "o", "u", one, time.Second, one),
		}, want: []found{{fault, brfinding.CodeBurst, "contract/c", "burst"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			changes := []brconfig.Change{}
			for _, r := range append(base(), c.resources...) {
				changes = append(changes, brconfig.Put(r))
			}
			snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
			require.NoError(t, err)
			require.ElementsMatch(t, c.want, summary(brfinding.CheckSnapshot(snapshot)))
		})
	}
}
