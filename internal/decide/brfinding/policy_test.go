package brfinding_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brfinding"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

// route returns a route without faults to service one.
func route(name, prefix string) brfleet.Route {
	return brfleet.NewRoute(name, "a.example", prefix, brfleet.NewWeightedService("one", 1)).
		WithIdempotent(true).WithAttempts(2).WithTimes(3*time.Second, 400*time.Millisecond)
}

// organisation returns an organisation without faults.
func organisation(name, key string) brfleet.Organisation {
	return brfleet.NewOrganisation(name, key).WithQuota(10, 20)
}

// fleet has 4 slots of service one in region north.
func fleet() []brfleet.Server {
	return []brfleet.Server{brfleet.NewServer("s", "one", "").WithLocation("n-1", "north").WithSlots(4)}
}

type found struct {
	severity brfinding.Severity
	code     brfinding.Code
	resource string
	field    string
}

func summary(list []brfinding.Finding) []found {
	result := []found{}
	for _, f := range list {
		result = append(result, found{f.Severity(), f.Code(), f.Kind() + "/" + f.Name(), f.Field()})
	}
	return result
}

// Operators write configurations that are accepted and do something else than they mean. Each
// fault must be found, and nothing else reported beside it.
func TestPolicyFindings(t *testing.T) {
	const fault, warning = brfinding.SeverityError, brfinding.SeverityWarning
	services := func(weighted ...brfleet.WeightedService) brfleet.Route {
		return brfleet.NewRoute("r", "a.example", "/", weighted...).WithTimes(3*time.Second, 400*time.Millisecond)
	}
	for _, c := range []struct {
		name          string
		routes        []brfleet.Route
		organisations []brfleet.Organisation
		want          []found
	}{
		{
			name:          "no faults",
			routes:        []brfleet.Route{route("all", "/"), route("some", "/some/"), route("other", "/some")},
			organisations: []brfleet.Organisation{organisation("o", "k").WithAllowedRegions("north"), organisation("p", "l").WithQuota(0, 0)},
		},
		{name: "no host", routes: []brfleet.Route{brfleet.NewRoute("r", "", "/", brfleet.NewWeightedService("one", 1))}, want: []found{{fault, brfinding.CodeNeverMatches, "route/r", "host"}}},
		{name: "prefix without slash", routes: []brfleet.Route{route("r", "some")}, want: []found{{fault, brfinding.CodeNeverMatches, "route/r", "prefix"}}},
		{name: "equal prefix", routes: []brfleet.Route{route("b", "/x"), route("a", "/x")}, want: []found{{fault, brfinding.CodeShadowed, "route/a", "prefix"}}},
		{name: "longer prefix", routes: []brfleet.Route{route("empty", ""), route("slash", "/")}, want: []found{{fault, brfinding.CodeShadowed, "route/empty", "prefix"}}},
		{name: "all weights 0", routes: []brfleet.Route{services(brfleet.NewWeightedService("one", 0))}, want: []found{{fault, brfinding.CodeWeightZero, "route/r", "services"}}},
		{name: "a weight of 0", routes: []brfleet.Route{services(brfleet.NewWeightedService("one", 1), brfleet.NewWeightedService("one", 0))}, want: []found{{warning, brfinding.CodeWeightZero, "route/r", "services"}}},
		{name: "service without server", routes: []brfleet.Route{services(brfleet.NewWeightedService("two", 1))}, want: []found{{fault, brfinding.CodeServiceWithoutServer, "route/r", "services"}}},
		{name: "service that is not configured", routes: []brfleet.Route{services(brfleet.NewWeightedService("one", 1), brfleet.NewWeightedService("three", 0))}, want: []found{{warning, brfinding.CodeWeightZero, "route/r", "services"}, {warning, brfinding.CodeServiceUnknown, "route/r", "services"}}},
		{name: "no allowed region has servers", routes: []brfleet.Route{route("r", "/").WithAllowedRegions("south")}, want: []found{{fault, brfinding.CodeRegionWithoutServer, "route/r", "allowedRegions"}}},
		{name: "an allowed region has no servers", routes: []brfleet.Route{route("r", "/").WithAllowedRegions("north", "south")}, want: []found{{warning, brfinding.CodeRegionWithoutServer, "route/r", "allowedRegions"}}},
		{name: "timeout below the objective", routes: []brfleet.Route{route("r", "/").WithTimes(300*time.Millisecond, 400*time.Millisecond)}, want: []found{{fault, brfinding.CodeTimeout, "route/r", "timeout"}}},
		{name: "attempts of requests that run once", routes: []brfleet.Route{route("r", "/").WithIdempotent(false)}, want: []found{{warning, brfinding.CodeAttemptsUnused, "route/r", "attempts"}}},
		{name: "attempts beyond the budget", routes: []brfleet.Route{route("r", "/").WithAttempts(12)}, want: []found{{fault, brfinding.CodeAttemptsBudget, "route/r", "attempts"}}},
		{name: "no key", organisations: []brfleet.Organisation{brfleet.NewOrganisation("o")}, want: []found{{warning, brfinding.CodeKeyMissing, "organisation/o", "keys"}}},
		{name: "empty key", organisations: []brfleet.Organisation{brfleet.NewOrganisation("o", "")}, want: []found{{fault, brfinding.CodeNeverMatches, "organisation/o", "keys"}}},
		{name: "shared key", organisations: []brfleet.Organisation{organisation("o", "k"), organisation("p", "k")}, want: []found{{fault, brfinding.CodeKeyShared, "organisation/o", "keys"}}},
		{name: "burst below one request", organisations: []brfleet.Organisation{organisation("o", "k").WithQuota(10, 0.5)}, want: []found{{fault, brfinding.CodeBurst, "organisation/o", "burst"}}},
		{name: "rate above capacity", routes: []brfleet.Route{route("r", "/")}, organisations: []brfleet.Organisation{organisation("o", "k").WithQuota(10.1, 20)}, want: []found{{warning, brfinding.CodeRate, "organisation/o", "rate"}}},
		{name: "home region without servers", routes: []brfleet.Route{route("r", "/")}, organisations: []brfleet.Organisation{organisation("o", "k").WithAllowedRegions("south")}, want: []found{{fault, brfinding.CodeRegionWithoutServer, "organisation/o", "allowedRegions"}}},
		{
			name:          "disjoint regions",
			routes:        []brfleet.Route{route("r", "/").WithAllowedRegions("north")},
			organisations: []brfleet.Organisation{organisation("o", "k").WithAllowedRegions("north"), organisation("p", "l").WithAllowedRegions("north", "south"), organisation("q", "m").WithAllowedRegions("south")},
			want: []found{
				{warning, brfinding.CodeRegionWithoutServer, "organisation/p", "allowedRegions"},
				{fault, brfinding.CodeRegionWithoutServer, "organisation/q", "allowedRegions"},
				{warning, brfinding.CodeRegionsDisjoint, "organisation/q", "allowedRegions"},
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			configured := []brfleet.Service{brfleet.NewService("one", 1), brfleet.NewService("two", 1)}
			policy := brfleet.NewPolicy(1, brfleet.Limits{}, c.routes, configured, c.organisations)
			require.ElementsMatch(t, c.want, summary(brfinding.CheckPolicy(policy, broption.Some(fleet()))))
		})
	}
}

// The servers are not known where a configuration is written. Nothing may be reported that
// depends on them.
func TestPolicyWithoutServersIsNotCheckedAgainstThem(t *testing.T) {
	routes := []brfleet.Route{route("r", "/").WithAllowedRegions("south")}
	organisations := []brfleet.Organisation{organisation("o", "k").WithQuota(1000, 1000).WithAllowedRegions("south")}
	policy := brfleet.NewPolicy(1, brfleet.Limits{}, routes, nil, organisations)
	require.Empty(t, brfinding.CheckPolicy(policy, broption.None[[]brfleet.Server]()))
}
