package brbalance

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	maxEjectedPercent = 30 // of a service's servers

	coldFraction    = 3 // a cold server starts with a third of its share
	fewestAnswers   = 8 // answers after which the limit of a server grows by one
	mostAnswers     = 512
	easingInterval  = 50 * time.Millisecond
	longestEasing   = 50 * time.Millisecond
	latencyWeight   = 0.2 // of the latest answer, in a moving average
	faultWeight     = 0.2 // of the latest outcome, in a moving average
	faultPenalty    = 9.0 // a server that always fails is scored as ten times as loaded
	failuresInRow   = 3
	failingRate     = 0.6
	fewestOutcomes  = 5
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
)

// candidate is a server with the observations of this VM.
type candidate struct {
	server   brconfig.Server
	listed   bool
	inFlight int
	share    int // this VM's share of the server's slots
	limit    int // maximum of concurrent requests
	answers  int // since the limit last changed
	needed   int // answers until the limit grows
	easedAt  time.Time
	resumeAt time.Time // after shedding

	latency   time.Duration // 0 while unknown
	outcomes  int
	faultRate float64
	inRow     int // consecutive failures

	ejected  bool
	backAt   time.Time
	ejection time.Duration
}

// newCandidate returns a cold server. It takes over the count of requests in flight
// of its predecessor with the same name.
func newCandidate(server brconfig.Server, before *candidate) *candidate {
	c := &candidate{server: server, share: server.Slots()}
	c.cool()
	if before != nil {
		c.inFlight = before.inFlight
	}
	return c
}

// cool resets the limit to that of a cold server.
func (c *candidate) cool() {
	c.limit = max((c.share+coldFraction-1)/coldFraction, 1)
	c.answers = 0
	c.needed = fewestAnswers
}

// divide sets this VM's share of the server's slots.
func (c *candidate) divide(share int) {
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
		return !c.pausedAt(now) && c.inFlight == 0
	}
	return c.inFlight < min(c.limit, c.server.Slots())
}

// pausedAt reports whether an ejected server gets no probes yet.
func (c *candidate) pausedAt(now time.Time) bool {
	return c.backAt.After(now)
}

// score returns the load with one more request, weighted by latency and fault rate.
func (c *candidate) score(unknownLatency time.Duration) float64 {
	latency := c.latency
	if latency == 0 {
		latency = unknownLatency
	}
	return float64(c.inFlight+1) / float64(c.limit) * float64(latency) * (1 + faultPenalty*c.faultRate)
}

func (c *candidate) learn(now time.Time, outcome brrequest.Outcome) {
	switch outcome.Kind() {
	case brrequest.OutcomeAnswered:
		c.answered(now, outcome.Latency())
	case brrequest.OutcomeFault, brrequest.OutcomeBroken, brrequest.OutcomeNotSent:
		c.failed()
	case brrequest.OutcomeShed:
		c.ease(now)
	case brrequest.OutcomeCancelled:
		// The caller cancelled the request, so the real latency is at least as long.
		c.latency = max(c.latency, outcome.Latency())
	}
}

func (c *candidate) answered(now time.Time, latency time.Duration) {
	c.observe(0)
	c.inRow = 0
	c.slow(latency)
	if c.ejected && !c.pausedAt(now) {
		c.ejected = false
		c.faultRate = 0
		c.outcomes = 0
		c.cool()
		return
	}
	c.grow()
}

// grow raises the limit by one after enough answers. It grows fast up to the share.
// Beyond the share, each shed request makes the growth slower.
func (c *candidate) grow() {
	c.answers++
	needed := c.needed
	if c.limit < c.share {
		needed = fewestAnswers
	}
	if c.answers < needed || c.limit >= c.server.Slots() {
		return
	}
	c.limit++
	c.answers = 0
	c.needed = max(c.needed/2, fewestAnswers)
}

func (c *candidate) slow(latency time.Duration) {
	if c.latency == 0 {
		c.latency = latency
		return
	}
	c.latency += time.Duration(latencyWeight * float64(latency-c.latency))
}

func (c *candidate) failed() {
	c.observe(1)
	c.inRow++
}

func (c *candidate) observe(fault float64) {
	c.outcomes++
	c.faultRate += faultWeight * (fault - c.faultRate)
}

// ease lowers the limit of a server that sheds: to the share, or by one if it is
// already within the share.
func (c *candidate) ease(now time.Time) {
	if now.Sub(c.easedAt) < easingInterval {
		return
	}
	c.easedAt = now
	c.needed = min(4*c.needed, mostAnswers)
	c.answers = 0
	if own := max(c.share, 1); c.limit > own {
		c.limit = own
		return
	}
	c.limit = max(c.limit-1, 1)
	if c.limit == 1 {
		c.resumeAt = now.Add(c.pauseAfterShed())
	}
}

// pauseAfterShed returns the pause of a server that sheds at a limit of one.
func (c *candidate) pauseAfterShed() time.Duration {
	return min(max(c.latency/16, time.Millisecond), longestEasing)
}

// failing reports whether the server has many consecutive failures or a high fault
// rate. For an ejected server, a single failure suffices.
func (c *candidate) failing() bool {
	return c.inRow >= failuresInRow || (c.ejected && c.inRow > 0) ||
		(c.outcomes >= fewestOutcomes && c.faultRate >= failingRate)
}

// eject stops requests to the server. The period doubles with each failed probe.
func (c *candidate) eject(now time.Time) {
	if !c.ejected {
		c.ejection = 0
	}
	c.ejected = true
	c.ejection = min(max(2*c.ejection, firstEjection), longestEjection)
	c.backAt = now.Add(c.ejection)
}
