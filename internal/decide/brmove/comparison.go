package brmove

import (
	"math"
	"math/bits"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	minFaults           = 3   // of the new version on a route, below which faults are ignored
	minBaselineOutcomes = 30  // outcomes of the old version, below which it is no baseline
	minStepOutcomes     = 30  // outcomes of the new version on a route that prove a step
	slowPercent         = 10  // of the old version's answers that are slow by definition
	maxDeviations       = 5.0 // standard deviations above the expected count
	toleratedOutcomes   = 3.0 // above the expected count, in addition
	latencyBuckets      = 64
	bucketsPerDoubling  = 2           // latency buckets for each factor of two
	decayInterval       = time.Minute // after which the counts are halved
	minDecayOutcomes    = 1000        // of a version on a route, below which they do not decay
	defaultFaultRate    = 0.2         // assumed for an old version without a baseline
)

// sample counts the outcomes of one version on one route.
type sample struct {
	outcomes int
	faults   int
	buckets  [latencyBuckets]int
}

// observe counts an outcome: as a fault, or in the bucket of its latency.
func (s *sample) observe(outcome brrequest.Outcome) {
	s.outcomes++
	if isFault(outcome.Kind()) {
		s.faults++
		return
	}
	s.buckets[bucketOf(outcome.Latency())]++
}

// decay reduces the weight of old outcomes. Small samples do not decay, so that the
// results of a version that gets no more requests are kept.
func (s *sample) decay() {
	if s.outcomes < minDecayOutcomes {
		return
	}
	s.outcomes /= 2
	s.faults /= 2
	for i := range s.buckets {
		s.buckets[i] /= 2
	}
}

// answered returns the number of answers without fault.
func (s *sample) answered() int {
	count := 0
	for _, n := range s.buckets {
		count += n
	}
	return count
}

// slowBucket returns the first bucket of slow latencies, which at most slowPercent of the
// answers reach.
func (s *sample) slowBucket() int {
	allowed := s.answered() * slowPercent / 100
	above := 0
	for i := latencyBuckets - 1; i >= 0; i-- {
		above += s.buckets[i]
		if above > allowed {
			return i + 1
		}
	}
	return 0
}

// countFrom returns the number of answers in a bucket and all slower ones.
func (s *sample) countFrom(bucket int) int {
	count := 0
	for i := bucket; i < latencyBuckets; i++ {
		count += s.buckets[i]
	}
	return count
}

// bucketOf returns the bucket of a latency. Each power of two of microseconds has
// two buckets.
func bucketOf(latency time.Duration) int {
	micros := uint64(max(latency.Microseconds(), 1))
	exponent := bits.Len64(micros) - 1
	half := 0
	if exponent > 0 && micros&(1<<(exponent-1)) != 0 {
		half = 1
	}
	return min(bucketsPerDoubling*exponent+half, latencyBuckets-1)
}

// isFault reports whether an outcome counts against the version that ran the request.
func isFault(kind brrequest.OutcomeKind) bool {
	switch kind {
	case brrequest.OutcomeFault, brrequest.OutcomeBroken, brrequest.OutcomeNotSent:
		return true
	default:
		return false
	}
}

// comparison holds the outcomes of both versions on one route, as seen by this VM.
type comparison struct {
	baseline     sample // of the old version
	candidate    sample // of the new version
	stepOutcomes int    // outcomes of the new version in this step
}

// requiredOutcomes returns the number of outcomes of the new version that proves a step
// on the route. A route with little traffic is considered only in the last step.
func (c *comparison) requiredOutcomes(isLast bool) int {
	switch {
	case c.baseline.outcomes+c.candidate.outcomes >= minStepOutcomes:
		return minStepOutcomes
	case isLast:
		return 1
	default:
		return 0
	}
}

// isOverdue reports whether a request without an answer has taken longer than the old version
// usually takes.
func (c *comparison) isOverdue(latency time.Duration) bool {
	return c.baseline.answered() >= minBaselineOutcomes && bucketOf(latency) >= c.baseline.slowBucket()
}

// regression returns the measure by which the new version is worse (faults or latency),
// or "".
func (c *comparison) regression() string {
	if c.candidate.faults >= minFaults && exceeds(c.candidate.faults, c.candidate.outcomes, c.baseline.faults, c.baseline.outcomes) {
		return "faults"
	}
	if c.baseline.answered() < minBaselineOutcomes {
		return ""
	}
	bucket := c.baseline.slowBucket()
	slow := c.candidate.countFrom(bucket)
	allowed := c.baseline.answered() * slowPercent / 100
	if exceeds(slow, c.candidate.answered(), max(allowed, c.baseline.countFrom(bucket)), c.baseline.answered()) {
		return "latency"
	}
	return ""
}

// exceeds reports whether count of total is significantly more than the baseline
// predicts.
func exceeds(count, total, baseCount, baseTotal int) bool {
	rate := defaultFaultRate
	if baseTotal >= minBaselineOutcomes {
		rate = float64(baseCount+1) / float64(baseTotal+1)
	}
	expected := rate * float64(total)
	return float64(count) > expected+maxDeviations*math.Sqrt(expected)+toleratedOutcomes
}
