package brselector_test

import (
	"math/big"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brselector"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlabel"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// After each request, the count of every target differs from its fraction of the
// requests so far by less than one.
func TestSplitterCountsStayWithinOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.Int64Range(0, 40), 1, 6).Draw(t, "parts")
		total := rapid.Int64Range(0, 30).Draw(t, "rest")
		for _, p := range parts {
			total += p
		}
		total = max(total, 1)
		targets := []int{}
		fractions := []brunit.Amount{}
		for i, p := range parts {
			targets = append(targets, i)
			fractions = append(fractions, brunit.New(p, total))
		}
		splitter, err := brselector.NewSplitter(targets, fractions)
		require.NoError(t, err)
		counts := make([]int64, len(parts))
		for n := int64(1); n <= 2*total+3; n++ {
			if target, ok := splitter.Next().Get(); ok {
				counts[target]++
			}
			for i := range parts {
				difference := new(big.Rat).Sub(fractions[i].Times(n).Rat(), new(big.Rat).SetInt64(counts[i]))
				require.Equal(t, -1, difference.Abs(difference).Cmp(big.NewRat(1, 1)), "target %d after %d", i, n)
			}
		}
	})
}

func TestCapIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		denominator := rapid.Int64Range(1, 200).Draw(t, "denominator")
		share := rapid.Int64Range(0, denominator).Draw(t, "share")
		limit, err := brselector.NewCap(brunit.New(share, denominator))
		require.NoError(t, err)
		admitted := int64(0)
		for n := int64(1); n <= 3*denominator; n++ {
			if limit.Admit() {
				admitted++
			}
			require.Equal(t, share*n/denominator, admitted, "after %d", n)
		}
	})
}

func TestInvalidFractionsAreRejected(t *testing.T) {
	_, err := brselector.NewSplitter([]int{1, 2}, []brunit.Amount{brunit.New(2, 3), brunit.New(1, 2)})
	require.True(t, brselector.IsErrFraction(err))
	_, err = brselector.NewCap(brunit.New(1, brselector.MaxDenominator+1))
	require.True(t, brselector.IsErrFraction(err))
	_, err = brselector.NewCap(brunit.New(-1, 2))
	require.True(t, brselector.IsErrFraction(err))
}

func selector(name string, priority int, fraction brunit.Amount) brconfig.Selector {
	gold := brlabel.NewExpression(brlabel.NewRequirement("tier", brlabel.OperatorIn, "gold"))
	return brconfig.NewSelector(brconfig.NewMeta(name), brconfig.KindOrganisation, gold, priority, brconfig.NewCapEffect(fraction))
}

func TestConflictErrorListsBothSelectors(t *testing.T) {
	labelled := brconfig.NewOrganisation(brconfig.NewMeta("o").WithLabels(brlabel.New(map[string]string{"tier": "gold"})))
	changes := []brconfig.Change{
		brconfig.Put(brconfig.NewOrganisation(brconfig.NewMeta("o"))),
		brconfig.Put(selector("a", 1, brunit.New(1, 2))),
		brconfig.Put(selector("b", 1, brunit.New(1, 3))),
		brconfig.Put(selector("c", 2, brunit.New(1, 4))),
		brconfig.Put(selector("d", 2, brunit.New(2, 8))),
	}
	snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
	require.NoError(t, err)
	// No resource has the label yet.
	require.NoError(t, brselector.CheckConflicts(snapshot, changes))
	require.Equal(t, []string{"a", "b", "c", "d"}, brselector.Unmatched(snapshot, changes))

	label := []brconfig.Change{brconfig.Put(labelled)}
	snapshot, err = snapshot.Apply(2, label)
	require.NoError(t, err)
	err = brselector.CheckConflicts(snapshot, label)
	require.True(t, brselector.IsErrConflict(err))
	require.ErrorContains(t, err, `"a" and "b"`)
	require.Empty(t, brselector.Unmatched(snapshot, changes))

	inForce, ok := brselector.Resolve(snapshot, labelled).Get(brconfig.EffectCap).Get()
	require.True(t, ok)
	require.Equal(t, "c", inForce.Name())
}

// Compares expressions with a model of each operator.
func TestExpressionsMatchLabels(t *testing.T) {
	operators := []brlabel.Operator{brlabel.OperatorIn, brlabel.OperatorNotIn, brlabel.OperatorExists, brlabel.OperatorAbsent}
	rapid.Check(t, func(t *rapid.T) {
		letter := rapid.SampledFrom([]string{"a", "b", "c"})
		labels := rapid.MapOfN(letter, letter, 0, 3).Draw(t, "labels")
		key := letter.Draw(t, "key")
		values := rapid.SliceOfN(letter, 1, 2).Draw(t, "values")
		operator := rapid.SampledFrom(operators).Draw(t, "operator")
		value, present := labels[key]
		contained := false
		for _, v := range values {
			contained = contained || (present && v == value)
		}
		want := map[brlabel.Operator]bool{
			brlabel.OperatorIn: contained, brlabel.OperatorNotIn: !contained, brlabel.OperatorExists: present, brlabel.OperatorAbsent: !present,
		}[operator]
		requirement := brlabel.NewRequirement(key, operator, values...)
		expression := brlabel.NewExpression(requirement)
		require.Equal(t, want, expression.Matches(brlabel.New(labels)))
		require.True(t, brlabel.NewExpression().Matches(brlabel.New(labels)))
	})
}
