// Package brrollout decides which share of a service's requests goes to the new
// version of a rollout, and when the rollout has succeeded or is rolled back.
//
// The new version gets a small share until late in the rollout, since some
// versions fail only after some time, under load or on one route. It is rolled
// back as soon as its share of bad answers, or of requests without an answer, is
// clearly above that of the other versions. It succeeds only if it has answered
// enough requests about as well as the others, with the small share and then with a
// larger one, however long that takes; only a service without any requests needs none.
//
// # Usage
//
//	evaluator := brrollout.NewEvaluator()
//	evidence := brrollout.NewEvidence(status.Tally(rollout.Revision()), true)
//	decision := evaluator.Evaluate(now, rollout, evidence, brrollout.NewLimits(0.1, 50))
package brrollout

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// trialFactor is the share of requests for a version on trial, as a multiple of the
	// allowed share. warmupFactor is that for a version that has passed its trial, while its
	// servers fill their caches and get more load. Until the decision at deadlineAt a version
	// gets at most the allowed share of the requests of the whole duration.
	trialFactor  = 0.6
	warmupFactor = 2
	// trialEnd and successAt are fractions of the rollout's duration, after which
	// the trial may end and the rollout may succeed.
	trialEnd  = 0.5
	successAt = 0.8
	// minGoodAnswers is the number of good answers that a version needs to pass its
	// trial, and as many again after it to succeed.
	minGoodAnswers = 12
	// deadlineAt is the fraction of the duration after which a version that is not good is
	// rolled back, and one succeeds of whose service nobody requests anything. A version
	// that lacks evidence goes on until giveUpAt, and is rolled back then.
	deadlineAt = 0.85
	giveUpAt   = 2
	// warmupPart is the fraction of the duration for which a version at least has the larger
	// share before it succeeds, and in which missing evidence is to be collected once the
	// usual time for it has passed.
	warmupPart = 0.15
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
	// Requests without an answer are compared together with bad answers. The offsets are
	// larger, since servers of a new version don't know the objects of their requests yet,
	// and take longer.
	minLate    = 6
	lateOffset = 0.25
	// A version is good if fewer than half of minLate requests were bad or unanswered, or
	// their share is at most goodLateOffset plus goodFactor times that of the other versions.
	goodLateOffset = 0.15
	// recentWindow is the length of the window of answers that is also evaluated by
	// itself, since some versions become bad late.
	recentWindow = 4 * time.Second
	// minRateWindow is the time for which answers are counted before the rate of the
	// service's requests is known.
	minRateWindow = 2500 * time.Millisecond
	// wantedRequests is the number of requests that a version should get in its trial, and
	// again after it. Services with few requests send it a larger share for that, up to
	// maxShare, but not more than slackPart of the allowed slack each time.
	wantedRequests = 20
	maxShare       = 0.5
	slackPart      = 0.4
	// shareStep is the step to which larger shares are rounded up, so that they change
	// rarely.
	shareStep = 0.05
)

// Evaluator holds the history of each rollout. It is not safe for concurrent use.
type Evaluator struct {
	trials map[brrecord.Revision]*trial // by revision of the rollout
}

// trial is the history of a rollout on this VM.
type trial struct {
	startedAt time.Time // the latest time at which the rollout may have started
	history   []snapshot
	warmup    warmup
}

// warmup is the time that a version has had the larger share, and its answers in that time.
type warmup struct {
	elapsed time.Duration
	tally   brstatus.Tally
	last    broption.Option[snapshot] // of the evaluation before, if the version had the larger share
}

// extend adds the time and the answers since the last evaluation.
func (w *warmup) extend(now time.Time, tally brstatus.Tally) {
	if last, ok := w.last.Get(); ok {
		w.elapsed += now.Sub(last.at)
		w.tally = w.tally.Add(tally.Sub(last.tally))
	}
	w.last = broption.Some(snapshot{at: now, tally: tally})
}

// pause ends the time with the larger share for now. Answers to a few requests tell nothing of how
// a version does with more, and are not counted.
func (w *warmup) pause() { w.last = broption.None[snapshot]() }

// snapshot is a tally with its time.
type snapshot struct {
	at    time.Time
	tally brstatus.Tally
}

// NewEvaluator returns an evaluator that has seen no rollouts.
func NewEvaluator() *Evaluator { return &Evaluator{trials: map[brrecord.Revision]*trial{}} }

// Age returns for how long a rollout has been running at least, or 0 if it is unknown.
func (e *Evaluator) Age(now time.Time, revision brrecord.Revision) time.Duration {
	t, ok := e.trials[revision]
	if !ok {
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

// Limits bound the requests that a version may get before its rollout has succeeded: a share
// of the service's requests during the rollout, and a number on top. They are immutable.
type Limits struct {
	share float64
	slack float64
}

// NewLimits returns the limits with a share of the requests and a number on top.
func NewLimits(share, slack float64) Limits { return Limits{share: share, slack: slack} }

// wanted returns the number of requests that a version should get in each part of its rollout.
func (l Limits) wanted() float64 { return min(wantedRequests, slackPart*l.slack) }

// Evidence is what is known of the answers of the versions. It is immutable.
type Evidence struct {
	tally      brstatus.Tally
	isMajority bool
}

// NewEvidence returns the evidence of a tally; isMajority means that at least half of the
// VMs contribute to it now.
func NewEvidence(tally brstatus.Tally, isMajority bool) Evidence {
	return Evidence{tally: tally, isMajority: isMajority}
}

// Evaluate decides on a rollout. The new version gets requests within the limits until it
// has succeeded. Without a majority of the VMs it does not succeed: the others may know of
// bad answers.
func (e *Evaluator) Evaluate(now time.Time, rollout brfleet.Rollout, evidence Evidence, limits Limits) Decision {
	decision := e.evaluate(now, rollout, evidence.tally, limits)
	if decision.state == brfleet.RolloutSucceeded && !rollout.State().Ended() && !evidence.isMajority {
		return Decision{state: brfleet.RolloutRunning, share: trialFactor * limits.share}
	}
	return decision
}

func (e *Evaluator) evaluate(now time.Time, rollout brfleet.Rollout, tally brstatus.Tally, limits Limits) Decision {
	if rollout.State().Ended() {
		return Decision{state: rollout.State()}
	}
	t := e.trial(now, rollout, tally)
	recent := t.recent(now, tally)
	if fails(tally) || fails(recent) || isLate(tally) {
		return Decision{state: brfleet.RolloutRolledBack, bad: true}
	}
	if rollout.State() == brfleet.RolloutOrdered {
		return Decision{state: brfleet.RolloutRunning}
	}
	progress := newProgress(now.Sub(t.startedAt), rollout.Duration())
	isGood := good(tally) && good(recent)
	isQuiet := tally.Target()+tally.Old() == 0
	switch {
	case progress.reached(deadlineAt) && !isGood, progress.reached(giveUpAt):
		return Decision{state: brfleet.RolloutRolledBack, bad: true}
	case progress.reached(deadlineAt) && isQuiet:
		return Decision{state: brfleet.RolloutSucceeded, share: warmupFactor * limits.share}
	case !isGood || !progress.reached(trialEnd) || tally.TargetGood() < minGoodAnswers:
		t.warmup.pause()
		missing := limits.wanted() - float64(tally.Target())
		share := max(trialFactor*limits.share, progress.shareFor(t.rate(now, recent), missing, trialEnd))
		return Decision{state: brfleet.RolloutRunning, share: share}
	}
	t.warmup.extend(now, tally)
	isWarm := t.warmup.elapsed >= progress.at(warmupPart) && t.warmup.tally.TargetGood() >= minGoodAnswers
	if progress.reached(successAt) && isWarm {
		return Decision{state: brfleet.RolloutSucceeded, share: warmupFactor * limits.share}
	}
	missing := limits.wanted() - float64(t.warmup.tally.Target())
	share := max(warmupFactor*limits.share, progress.shareFor(t.rate(now, recent), missing, successAt))
	return Decision{state: brfleet.RolloutRunning, share: share}
}

// progress is how much of a rollout's duration has passed.
type progress struct {
	elapsed  time.Duration
	duration time.Duration
}

func newProgress(elapsed, duration time.Duration) progress {
	return progress{elapsed: elapsed, duration: max(duration, time.Millisecond)}
}

func (p progress) reached(fraction float64) bool {
	return p.elapsed >= p.at(fraction)
}

func (p progress) at(fraction float64) time.Duration {
	return time.Duration(fraction * float64(p.duration))
}

// shareFor returns the share of requests by which the target version gets the missing ones
// until a fraction of the duration, or soon if that has passed, if the service gets requests at
// the given rate per second.
func (p progress) shareFor(rate, missing, fraction float64) float64 {
	left := p.at(fraction) - p.elapsed
	if left <= 0 {
		left = p.at(warmupPart)
	}
	arriving := rate * left.Seconds()
	if missing <= 0 || arriving <= 0 {
		return 0
	}
	return min(math.Ceil(missing/arriving/shareStep)*shareStep, maxShare)
}

// trial returns the history of a rollout. If it was already running when this VM first saw it,
// it may have started at any time before: until another VM reports a longer age, it counts as
// started now. If all VMs were lost at once, the version thus needs its full time again, and its
// rollout ends late rather than on the strength of too few answers. The VM that has known the
// rollout for longest is right about its age.
func (e *Evaluator) trial(now time.Time, rollout brfleet.Rollout, tally brstatus.Tally) *trial {
	t, ok := e.trials[rollout.Revision()]
	if !ok {
		t = &trial{startedAt: now}
		e.trials[rollout.Revision()] = t
	}
	if tally.Age() > now.Sub(t.startedAt) {
		t.startedAt = now.Add(-tally.Age())
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

// rate returns the requests of the service per second in the recent window, or 0 while that is
// too short: answers take a time to be counted, so that the rate would seem too low.
func (t *trial) rate(now time.Time, recent brstatus.Tally) float64 {
	span := now.Sub(t.history[0].at)
	if span < minRateWindow {
		return 0
	}
	return float64(recent.Target()+recent.Old()) / span.Seconds()
}

// fails reports whether the new version clearly gives more bad answers than the others.
func fails(t brstatus.Tally) bool {
	return t.TargetBad() >= minBadAnswers && targetBadShare(t) > badOffset+badFactor*oldBadShare(t)
}

// isLate reports whether the new version clearly leaves more requests without a good answer
// than the others.
func isLate(t brstatus.Tally) bool {
	return targetLate(t) >= minLate && targetLateShare(t) > lateOffset+badFactor*oldLateShare(t)
}

// good reports whether the new version is about as good as the others. A version can
// be neither good nor bad. One that got requests and answered none is not good.
func good(t brstatus.Tally) bool {
	if t.Target() > 0 && t.TargetGood() == 0 {
		return false
	}
	fewBad := t.TargetBad() < minBadAnswers/2 || targetBadShare(t) <= goodOffset+goodFactor*oldBadShare(t)
	fewLate := targetLate(t) < minLate/2 || targetLateShare(t) <= goodLateOffset+goodFactor*oldLateShare(t)
	return fewBad && fewLate
}

// targetLate returns the requests that the new version answered badly or not at all.
func targetLate(t brstatus.Tally) uint64 { return t.TargetBad() + t.TargetOverdue() }

func targetBadShare(t brstatus.Tally) float64 { return share(t.TargetBad(), t.Target()) }

func oldBadShare(t brstatus.Tally) float64 { return share(t.OldBad(), t.Old()) }

func targetLateShare(t brstatus.Tally) float64 { return share(targetLate(t), t.Target()) }

func oldLateShare(t brstatus.Tally) float64 { return share(t.OldBad()+t.OldOverdue(), t.Old()) }

func share(count, total uint64) float64 { return float64(count) / float64(max(total, 1)) }
