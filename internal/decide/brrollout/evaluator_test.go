package brrollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brrollout"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

const (
	allowed         = 0.1
	slack           = 50
	requestsPerStep = 7
	step            = 100 * time.Millisecond
)

var start = time.Unix(1000, 0)

// simulate runs a rollout whose target gives a share of bad answers from badFrom
// on. It returns the final state, the time at which the rollout ended, and the
// requests to the target and to all versions.
func simulate(seed uint64, duration, badFrom time.Duration, badShare, oldBadShare float64) (state brfleet.RolloutState, endedAfter time.Duration, target, all int) {
	random := rand.New(rand.NewPCG(seed, 1))
	evaluator := brrollout.NewEvaluator()
	rollout := brfleet.NewRollout("lookup", "v2", duration, 3)
	tally := brstatus.Tally{}
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		decision := evaluator.Evaluate(start.Add(elapsed), rollout, tally, allowed)
		rollout = rollout.WithState(decision.State())
		if rollout.State().Ended() {
			return rollout.State(), elapsed, target, all
		}
		for range requestsPerStep {
			all++
			bad := elapsed >= badFrom && random.Float64() < badShare
			if random.Float64() >= decision.Share() {
				tally = tally.Add(count(false, random.Float64() < oldBadShare))
				continue
			}
			target++
			tally = tally.Add(count(true, bad || random.Float64() < oldBadShare))
		}
	}
	return rollout.State(), duration, target, all
}

// count returns the tally of one answer.
func count(target, bad bool) brstatus.Tally {
	switch {
	case target && bad:
		return brstatus.NewTally(0, 1, 0, 0)
	case target:
		return brstatus.NewTally(1, 0, 0, 0)
	case bad:
		return brstatus.NewTally(0, 0, 0, 1)
	default:
		return brstatus.NewTally(0, 0, 1, 0)
	}
}

// The rollout of a good version succeeds within its duration, even if all versions
// fail occasionally.
func TestGoodVersionSucceedsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := time.Duration(rapid.IntRange(8, 60).Draw(t, "seconds")) * time.Second
		oldBadShare := rapid.Float64Range(0, 0.01).Draw(t, "usual faults")
		state, ended, _, _ := simulate(rapid.Uint64().Draw(t, "seed"), duration, time.Hour, 0, oldBadShare)
		require.Equal(t, brfleet.RolloutSucceeded, state)
		require.LessOrEqual(t, ended, duration*9/10)
	})
}

// A version that is bad immediately or after some seconds is rolled back, and gets
// no more requests than the allowed share and the tolerated slack.
func TestBadVersionIsRolledBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := time.Duration(rapid.IntRange(12, 30).Draw(t, "seconds")) * time.Second
		badFrom := time.Duration(rapid.IntRange(0, 3000).Draw(t, "bad from")) * time.Millisecond
		state, _, target, all := simulate(rapid.Uint64().Draw(t, "seed"), duration, badFrom, rapid.Float64Range(0.3, 1).Draw(t, "bad share"), 0.004)
		require.Equal(t, brfleet.RolloutRolledBack, state)
		require.LessOrEqual(t, float64(target), allowed*float64(all)+slack)
	})
}

// A VM that starts during a rollout takes the age of the rollout from the other VMs,
// and does not end the trial early.
func TestStartingVMTakesRolloutAgeFromOtherVMs(t *testing.T) {
	evaluator := brrollout.NewEvaluator()
	rollout := brfleet.NewRollout("lookup", "v2", 16*time.Second, 3).WithState(brfleet.RolloutRunning)
	tally := brstatus.NewTally(40, 0, 500, 2)
	evaluator.Evaluate(start, rollout, tally, allowed)
	decision := evaluator.Evaluate(start.Add(4500*time.Millisecond), rollout, tally.WithAge(5*time.Second), allowed)
	require.Equal(t, brfleet.RolloutRunning, decision.State())
	require.Equal(t, 5*time.Second, evaluator.Age(start.Add(4500*time.Millisecond), 3))
}

// A version that is moderately worse than the others must not succeed. The numbers
// are from an incident in which a bad version succeeded: 15 of 119 answers of the new
// version and 23 of 1135 of the old one were bad.
func TestModeratelyWorseVersionDoesNotSucceed(t *testing.T) {
	evaluator := brrollout.NewEvaluator()
	rollout := brfleet.NewRollout("lookup", "v2", 16*time.Second, 3)
	evaluator.Evaluate(start, rollout, brstatus.Tally{}, allowed)
	rollout = rollout.WithState(brfleet.RolloutRunning)
	tally := brstatus.NewTally(104, 15, 1112, 23)
	require.Equal(t, brfleet.RolloutRunning, evaluator.Evaluate(start.Add(11*time.Second), rollout, tally, allowed).State())
	require.Equal(t, brfleet.RolloutRolledBack, evaluator.Evaluate(start.Add(14*time.Second), rollout, tally, allowed).State())
}

// A version that becomes bad after many good answers is rolled back because of its
// most recent answers.
func TestVersionThatBecomesBadLateIsRolledBack(t *testing.T) {
	evaluator := brrollout.NewEvaluator()
	rollout := brfleet.NewRollout("lookup", "v2", time.Minute, 3)
	evaluator.Evaluate(start, rollout, brstatus.Tally{}, allowed)
	rollout = rollout.WithState(brfleet.RolloutRunning)
	for second := range 20 {
		good := uint64(10 * second)
		evaluator.Evaluate(start.Add(time.Duration(second)*time.Second), rollout, brstatus.NewTally(good, 0, 10*good, 0), allowed)
	}
	decision := evaluator.Evaluate(start.Add(21*time.Second), rollout, brstatus.NewTally(196, 5, 2000, 0), allowed)
	require.Equal(t, brfleet.RolloutRolledBack, decision.State())
}

// A VM that starts during a rollout does not count the rollout's duration from its own
// start.
func TestRunningRolloutEndsInTimeOnStartingVM(t *testing.T) {
	evaluator := brrollout.NewEvaluator()
	rollout := brfleet.NewRollout("lookup", "v2", 15*time.Second, 3).WithState(brfleet.RolloutRunning)
	tally := brstatus.NewTally(100, 0, 900, 3)
	evaluator.Evaluate(start, rollout, tally, allowed)
	decision := evaluator.Evaluate(start.Add(6*time.Second), rollout, tally, allowed)
	require.Equal(t, brfleet.RolloutSucceeded, decision.State())
}

// No requests go to a version before its rollout is running.
func TestOrderedRolloutGetsNoRequests(t *testing.T) {
	decision := brrollout.NewEvaluator().Evaluate(start, brfleet.NewRollout("lookup", "v2", time.Minute, 3), brstatus.Tally{}, allowed)
	require.Equal(t, brfleet.RolloutRunning, decision.State())
	require.Zero(t, decision.Share())
}
