package brbalance

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	maxEjectedPercent = 30 // of a service's servers

	coldShareDivisor       = 3                     // a cold server starts with a third of its share
	minAnswersNeeded       = 8                     // answers after which the limit of a server grows by one
	maxAnswersNeeded       = 512                   // upper bound of that number while the server sheds
	limitReductionInterval = 50 * time.Millisecond // minimum time between reductions of the limit
	maxShedPause           = 50 * time.Millisecond // without requests, for a server that sheds at a limit of one
	latencyWeight          = 0.2                   // of the latest answer, in a moving average
	faultWeight            = 0.2                   // of the latest outcome, in a moving average
	faultPenalty           = 9.0                   // a server that always fails is scored as ten times as loaded
	maxConsecutiveFailures = 3                     // after which a server is ejected
	ejectionFaultRate      = 0.6                   // moving average from which a server is ejected
	minOutcomes            = 5                     // below which the fault rate is ignored
	minEjection            = time.Second
	maxEjection            = 30 * time.Second
)

// candidate is a server with the observations of this VM.
type candidate struct {
	server         brconfig.Server
	configured     bool
	inFlight       int
	share          int // this VM's share of the server's slots
	limit          int // maximum of concurrent requests
	answers        int // since the limit last changed
	answersNeeded  int // answers until the limit grows
	limitLoweredAt time.Time
	resumeAt       time.Time // after shedding

	latency             time.Duration // 0 while unknown
	outcomes            int
	faultRate           float64
	consecutiveFailures int

	ejected        bool
	ejectedUntil   time.Time
	ejectionPeriod time.Duration
}

// newCandidate returns a cold server. It starts with the requests in flight of a
// predecessor with the same name.
func newCandidate(server brconfig.Server, predecessor *candidate) *candidate {
	c := &candidate{server: server, share: server.Slots()}
	c.resetLimit()
	if predecessor != nil {
		c.inFlight = predecessor.inFlight
	}
	return c
}

// resetLimit sets the limit to that of a cold server.
func (c *candidate) resetLimit() {
	c.limit = max((c.share+coldShareDivisor-1)/coldShareDivisor, 1)
	c.answers = 0
	c.answersNeeded = minAnswersNeeded
}

// setShare sets this VM's share of the server's slots.
func (c *candidate) setShare(share int) {
	if share == c.share {
		return
	}
	c.share = share
	c.limit = min(c.limit, max(share, 1))
	c.answers = 0
}

// available reports whether the server may get one more request.
func (c *candidate) available(now time.Time) bool {
	if c.server.State() != brconfig.ServerServing || c.resumeAt.After(now) {
		return false
	}
	if c.ejected {
		return !c.probesBlocked(now) && c.inFlight == 0
	}
	return c.inFlight < min(c.limit, c.server.Slots())
}

// probesBlocked reports whether an ejected server gets no probes yet.
func (c *candidate) probesBlocked(now time.Time) bool {
	return c.ejectedUntil.After(now)
}

// score returns the load with one more request, weighted by latency and fault rate.
func (c *candidate) score(defaultLatency time.Duration) float64 {
	latency := c.latency
	if latency == 0 {
		latency = defaultLatency
	}
	return float64(c.inFlight+1) / float64(c.limit) * float64(latency) * (1 + faultPenalty*c.faultRate)
}

func (c *candidate) record(now time.Time, outcome brrequest.Outcome) {
	switch outcome.Kind() {
	case brrequest.OutcomeAnswered:
		c.recordAnswer(now, outcome.Latency())
	case brrequest.OutcomeFault, brrequest.OutcomeBroken, brrequest.OutcomeNotSent:
		c.recordFailure()
	case brrequest.OutcomeShed:
		c.lowerLimit(now)
	case brrequest.OutcomeCancelled:
		// The caller cancelled the request, so the real latency is at least as long.
		c.latency = max(c.latency, outcome.Latency())
	}
}

func (c *candidate) recordAnswer(now time.Time, latency time.Duration) {
	c.updateFaultRate(0)
	c.consecutiveFailures = 0
	c.updateLatency(latency)
	if c.ejected && !c.probesBlocked(now) {
		c.ejected = false
		c.faultRate = 0
		c.outcomes = 0
		c.resetLimit()
		return
	}
	c.raiseLimit()
}

// raiseLimit raises the limit by one after enough answers. The limit grows fast up
// to the share. Beyond the share, each reduction makes its growth slower.
func (c *candidate) raiseLimit() {
	c.answers++
	needed := c.answersNeeded
	if c.limit < c.share {
		needed = minAnswersNeeded
	}
	if c.answers < needed || c.limit >= c.server.Slots() {
		return
	}
	c.limit++
	c.answers = 0
	c.answersNeeded = max(c.answersNeeded/2, minAnswersNeeded)
}

func (c *candidate) updateLatency(latency time.Duration) {
	if c.latency == 0 {
		c.latency = latency
		return
	}
	c.latency += time.Duration(latencyWeight * float64(latency-c.latency))
}

func (c *candidate) recordFailure() {
	c.updateFaultRate(1)
	c.consecutiveFailures++
}

func (c *candidate) updateFaultRate(fault float64) {
	c.outcomes++
	c.faultRate += faultWeight * (fault - c.faultRate)
}

// lowerLimit lowers the limit of a server that sheds: to the share, or by one if it
// is already within the share.
func (c *candidate) lowerLimit(now time.Time) {
	if now.Sub(c.limitLoweredAt) < limitReductionInterval {
		return
	}
	c.limitLoweredAt = now
	c.answersNeeded = min(4*c.answersNeeded, maxAnswersNeeded)
	c.answers = 0
	if share := max(c.share, 1); c.limit > share {
		c.limit = share
		return
	}
	c.limit = max(c.limit-1, 1)
	if c.limit == 1 {
		c.resumeAt = now.Add(c.pauseAfterShed())
	}
}

// pauseAfterShed returns the pause of a server that sheds at a limit of one.
func (c *candidate) pauseAfterShed() time.Duration {
	return min(max(c.latency/16, time.Millisecond), maxShedPause)
}

// failing reports whether the server has many consecutive failures or a high fault
// rate. For an ejected server, a single failure suffices.
func (c *candidate) failing() bool {
	return c.consecutiveFailures >= maxConsecutiveFailures || (c.ejected && c.consecutiveFailures > 0) ||
		(c.outcomes >= minOutcomes && c.faultRate >= ejectionFaultRate)
}

// eject stops requests to the server. The period doubles with each failed probe.
func (c *candidate) eject(now time.Time) {
	if !c.ejected {
		c.ejectionPeriod = 0
	}
	c.ejected = true
	c.ejectionPeriod = min(max(2*c.ejectionPeriod, minEjection), maxEjection)
	c.ejectedUntil = now.Add(c.ejectionPeriod)
}
