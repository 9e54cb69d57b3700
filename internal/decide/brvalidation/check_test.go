package brvalidation_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brselector"
	"bergamotroad.example/bergamotroad/internal/decide/brvalidation"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlabel"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var (
	meta = brconfig.NewMeta("x")
	hash = strings.Repeat("0a", 32)
	noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
)

func paths(err error) []string {
	invalid, _ := errors.Into[brvalidation.ErrInvalid](err)
	found := []string{}
	for _, f := range invalid.FieldErrors() {
		found = append(found, f.Path())
	}
	return found
}

func capped(fraction brunit.Amount, requirements ...brlabel.Requirement) brconfig.Selector {
	return brconfig.NewSelector(meta, brconfig.KindRoute, brlabel.NewExpression(requirements...), 0, brconfig.NewCapEffect(fraction))
}

func weights(selects brconfig.Kind, weights ...brconfig.Weight) brconfig.Selector {
	return brconfig.NewSelector(meta, selects, brlabel.NewExpression(), 0, brconfig.NewWeightsEffect(weights...))
}

func TestCheckChangesReportsPathOfEachFieldError(t *testing.T) {
	half, huge := brunit.New(1, 2), brunit.New(1<<62, 1).Times(1<<62)
	region := func(name string, fraction brunit.Amount) brconfig.Weight {
		return brconfig.NewWeight(brconfig.TargetRegion, name, fraction)
	}
	for _, c := range []struct {
		resource brconfig.Resource
		fields   []string
	}{
		{brconfig.NewRegion(brconfig.NewMeta("a/b")), []string{"name"}},
		{brconfig.NewRegion(brconfig.NewMeta(strings.Repeat("a", 129)).WithTeam("-")), []string{"name", "team"}},
		{brconfig.NewLink(meta, "a", "a", 0, 0), []string{"spec.bytesPerSecond", "spec.to"}},
		{brconfig.NewBlock(meta, netip.MustParsePrefix("10.0.0.1/8"), []brconfig.Distance{brconfig.NewDistance("s", 0), brconfig.NewDistance("s", 0)}), []string{"spec.prefix", "spec.distances[1].site"}},
		{brconfig.NewVM(meta, "s", "host:80", "10.0.0.1:0"), []string{"spec.callerAddress", "spec.peerAddress"}},
		{brconfig.NewOrganisation(meta).WithWeight(-1).WithMaxKeyAge(0), []string{"spec.weight", "spec.keyAge"}},
		{brconfig.NewKey(meta, "o", strings.ToUpper(hash)), []string{"spec.hash"}},
		{brconfig.NewUnit(meta, huge).WithWeight("r", brunit.New(0, 1)), []string{"spec.standard", "spec.weights.r"}},
		{brconfig.NewContract(meta, "o", "u", brunit.New(-1, 1), 0, huge), []string{"spec.rate", "spec.burst", "spec.period"}},
		{brconfig.NewServer(meta, "s", "d", "10.0.0.1:80", 0), []string{"spec.slots"}},
		{brconfig.NewRoute(meta, "s", "a").WithMethods("get").WithTimeout(0), []string{"spec.pathPrefix", "spec.timeout", "spec.methods[0]"}},
		{brconfig.NewTeam(meta).WithMaxObjects(-1).WithWritesPerMinute(0), []string{"spec.maxObjects", "spec.writesPerMinute"}},
		{brconfig.NewToken(meta, "", "root"), []string{"spec.hash", "spec.role"}},
		{capped(brunit.New(3, 2)), []string{"spec.effect.cap"}},
		{capped(brunit.New(1, brselector.MaxDenominator+1)), []string{"spec.effect.cap"}},
		{capped(half, brlabel.NewRequirement("k", "like", "a"), brlabel.NewRequirement("k", brlabel.OperatorIn)), []string{"spec.where[0].operator", "spec.where[1].values"}},
		{weights(brconfig.KindBlock, region("a", half)), []string{"spec.selects", "spec.effect.weights"}},
		{weights(brconfig.KindRoute, region("a", half), region("a", half)), []string{"spec.effect.weights[1].name"}},
		{weights(brconfig.KindRoute, region("a", half), brconfig.NewWeight(brconfig.TargetDomain, "b", half)), []string{"spec.effect.weights[1].target"}},
		{brconfig.NewMove(meta, "s", "v1", "v1").WithCap(brunit.New(0, 1)).WithTimes(noon, noon), []string{"spec.to", "spec.cap", "spec.by"}},
		{brconfig.NewDrain(meta, brconfig.NewReference(brconfig.KindKey, "k"), noon, noon), []string{"spec.target.kind", "spec.by"}},
	} {
		err := brvalidation.CheckChanges([]brconfig.Change{brconfig.Put(c.resource)})
		want := []string{}
		for _, field := range c.fields {
			want = append(want, string(c.resource.Kind())+"/"+c.resource.Name()+"."+field)
		}
		require.ElementsMatch(t, want, paths(err), "%s", c.resource.Kind())
	}
}

func TestCheckChangesReportsFieldErrorsOfAllResources(t *testing.T) {
	err := brvalidation.CheckChanges([]brconfig.Change{
		brconfig.Put(brconfig.NewKey(brconfig.NewMeta("a"), "o", "")),
		brconfig.Put(brconfig.NewKey(brconfig.NewMeta("b"), "o", hash)),
		brconfig.Put(brconfig.NewKey(brconfig.NewMeta("c"), "o", "")),
	})
	require.Equal(t, []string{"key/a.spec.hash", "key/c.spec.hash"}, paths(err))
}

// Validation accepts weights if and only if brselector can build a splitter from them.
func TestAcceptedWeightsMatchSplitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		primes := rapid.SliceOfN(rapid.SampledFrom([]int64{2, 3, 99_991, 99_989}), 1, 4).Draw(t, "primes")
		remainder := brunit.New(1, 1).Rat()
		fractions := []brunit.Amount{}
		for _, p := range primes {
			fraction := brunit.New(1, 4*p)
			fractions = append(fractions, fraction)
			remainder.Sub(remainder, fraction.Rat())
		}
		last, err := brunit.Parse(remainder.RatString())
		require.NoError(t, err)
		fractions = append(fractions, last)
		targets := []string{}
		list := []brconfig.Weight{}
		for i, f := range fractions {
			name := string(rune('a' + i))
			targets = append(targets, name)
			list = append(list, brconfig.NewWeight(brconfig.TargetVersion, name, f))
		}
		isAccepted := brvalidation.CheckChanges([]brconfig.Change{brconfig.Put(weights(brconfig.KindRoute, list...))}) == nil
		_, err = brselector.NewSplitter(targets, fractions)
		require.Equal(t, err == nil, isAccepted, "%v", err)
	})
}

func TestQuotasLimitOwnedResources(t *testing.T) {
	put := func(name string) brconfig.Change {
		return brconfig.Put(brconfig.NewOrganisation(brconfig.NewMeta(name).WithTeam("azul")))
	}
	first, err := brconfig.NewSnapshot().Apply(1, []brconfig.Change{
		brconfig.Put(brconfig.NewTeam(brconfig.NewMeta("azul")).WithMaxObjects(1)), put("a"),
	})
	require.NoError(t, err)
	changes := []brconfig.Change{put("b")}
	second, err := first.Apply(2, changes)
	require.NoError(t, err)
	require.True(t, brvalidation.IsErrQuotaExceeded(brvalidation.CheckQuotas(first, second, changes)))
	// A team that exceeds its limit can still update its resources.
	require.NoError(t, brvalidation.CheckQuotas(second, second, changes))
}
