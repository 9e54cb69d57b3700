// Package brrollout decides which share of a service's requests goes to the new
// version of a rollout, and when the rollout has succeeded or is rolled back.
//
// The new version gets a small share until late in the rollout, since some
// versions fail only after some time, under load or on one route. It is rolled
// back as soon as its share of bad answers is clearly above that of the other
// versions.
//
// # Usage
//
//	evaluator := brrollout.NewEvaluator()
//	decision := evaluator.Evaluate(now, rollout, status.Tally(rollout.Revision()), allowed)
package brrollout

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// trialShare is the share of requests for a version on trial, as a fraction of
	// the allowed share.
	trialShare = 0.75
	// warmupShare is the share of requests for a version that has passed its
	// trial, while its servers fill their caches.
	warmupShare = 0.3
	// trialEnd and successAt are fractions of the rollout's duration, after which
	// the trial may end and the rollout may succeed.
	trialEnd  = 0.5
	successAt = 0.66
	// assumedProgress is the fraction of a rollout's duration that is assumed to
	// have passed when a VM first sees the rollout already running and no VM has
	// reported its age.
	assumedProgress = 0.4
	// minGoodAnswers is the number of good answers that a version needs to pass its
	// trial. deadlineAt is the fraction of the duration after which any number
	// suffices, and a version that is not good is rolled back.
	minGoodAnswers = 12
	deadlineAt     = 0.85
	// A version is bad if it gave at least minBadAnswers bad answers, and their share
	// is above badOffset plus badFactor times that of the other versions.
	minBadAnswers = 4
	badOffset     = 0.08
	badFactor     = 2.5
	// A version is good if it gave fewer than half of minBadAnswers bad answers, or
	// their share is at most goodOffset plus goodFactor times that of the other
	// versions.
	goodOffset = 0.03
	goodFactor = 1.5
	// recentWindow is the length of the window of answers that is also evaluated by
	// itself, since some versions become bad late.
	recentWindow = 4 * time.Second
)

// Evaluator holds the history of each rollout. It is not safe for concurrent use.
type Evaluator struct {
	trials map[uint64]*trial // by revision of the rollout
}

// trial is the history of a rollout on this VM.
type trial struct {
	startedAt time.Time
	estimated bool // startedAt is an estimate
	history   []snapshot
}

// snapshot is a tally with its time.
type snapshot struct {
	at    time.Time
	tally brstatus.Tally
}

// NewEvaluator returns an evaluator that has seen no rollouts.
func NewEvaluator() *Evaluator { return &Evaluator{trials: map[uint64]*trial{}} }

// Age returns for how long a rollout has been running, or 0 if that is unknown.
func (e *Evaluator) Age(now time.Time, revision uint64) time.Duration {
	t, ok := e.trials[revision]
	if !ok || t.estimated {
		return 0
	}
	return now.Sub(t.startedAt)
}

// Decision says how to proceed with a rollout at one time. It is immutable.
type Decision struct {
	share float64
	state brfleet.RolloutState
	bad   bool
}

// Share returns the share of the service's requests that go to the new version.
func (d Decision) Share() float64 { return d.share }

// State returns the state that the rollout should have.
func (d Decision) State() brfleet.RolloutState { return d.state }

// Bad reports whether the new version must get no more requests.
func (d Decision) Bad() bool { return d.bad }

// Evaluate decides on a rollout from the tally of answers of all VMs. While the new
// version is on trial, it gets at most the allowed share of the requests.
func (e *Evaluator) Evaluate(now time.Time, rollout brfleet.Rollout, tally brstatus.Tally, allowed float64) Decision {
	if rollout.State().Ended() {
		return Decision{state: rollout.State()}
	}
	t := e.trial(now, rollout, tally)
	recent := t.recent(now, tally)
	if bad(tally) || bad(recent) {
		return Decision{state: brfleet.RolloutRolledBack, bad: true}
	}
	if rollout.State() == brfleet.RolloutOrdered {
		return Decision{state: brfleet.RolloutRunning}
	}
	elapsed := float64(now.Sub(t.startedAt)) / float64(max(rollout.Duration(), time.Millisecond))
	isGood := good(tally) && good(recent)
	switch {
	case elapsed >= deadlineAt && !isGood:
		return Decision{state: brfleet.RolloutRolledBack, bad: true}
	case isGood && elapsed >= successAt && (tally.TargetGood() >= minGoodAnswers || elapsed >= deadlineAt):
		return Decision{state: brfleet.RolloutSucceeded, share: warmupShare}
	case isGood && elapsed >= trialEnd && tally.TargetGood() >= minGoodAnswers:
		return Decision{state: brfleet.RolloutRunning, share: warmupShare}
	default:
		return Decision{state: brfleet.RolloutRunning, share: trialShare * allowed}
	}
}

// trial returns the history of a rollout. If the rollout was already running when
// this VM first saw it, its start is estimated until another VM reports its age.
func (e *Evaluator) trial(now time.Time, rollout brfleet.Rollout, tally brstatus.Tally) *trial {
	t, ok := e.trials[rollout.Revision()]
	if !ok {
		t = &trial{startedAt: now}
		if rollout.State() == brfleet.RolloutRunning {
			t.startedAt = now.Add(-time.Duration(assumedProgress * float64(rollout.Duration())))
			t.estimated = true
		}
		e.trials[rollout.Revision()] = t
	}
	if t.estimated && tally.Age() > 0 {
		t.startedAt = now.Add(-tally.Age())
		t.estimated = false
	}
	return t
}

// recent adds a tally to the history and returns the answers of the recent window.
func (t *trial) recent(now time.Time, tally brstatus.Tally) brstatus.Tally {
	t.history = append(t.history, snapshot{at: now, tally: tally})
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= recentWindow {
		t.history = t.history[1:]
	}
	return tally.Sub(t.history[0].tally)
}

// bad reports whether the new version is clearly worse than the others.
func bad(t brstatus.Tally) bool {
	return t.TargetBad() >= minBadAnswers && targetBadShare(t) > badOffset+badFactor*oldBadShare(t)
}

// good reports whether the new version is about as good as the others. A version can
// be neither good nor bad.
func good(t brstatus.Tally) bool {
	return t.TargetBad() < minBadAnswers/2 || targetBadShare(t) <= goodOffset+goodFactor*oldBadShare(t)
}

func targetBadShare(t brstatus.Tally) float64 { return share(t.TargetBad(), t.TargetGood()) }

func oldBadShare(t brstatus.Tally) float64 { return share(t.OldBad(), t.OldGood()) }

func share(bad, good uint64) float64 { return float64(bad) / float64(max(bad+good, 1)) }
