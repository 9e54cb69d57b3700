package brplacement

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

const (
	// peerExcessHalfLife is the half-life of other VMs' load at a server above its
	// mean: about the duration of one request.
	peerExcessHalfLife = 300 * time.Millisecond
	// peerMeanHalfLife is the half-life of the mean load of other VMs at a server:
	// the time scale on which traffic changes.
	peerMeanHalfLife = 1500 * time.Millisecond
	// shedPause is how long a server gets no requests after it shed one: the
	// time in which a slot becomes free at a full server.
	shedPause = 60 * time.Millisecond
	// firstEjection and longestEjection bound the time for which a failing
	// server gets no requests; the time doubles with each consecutive failure.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// recoveryTime is how long a server is treated as cold once it answers again
	// after it was unreachable, since it may have restarted, and at least after an
	// evacuation of its failure domain.
	recoveryTime = 3 * time.Second
	// faultWeight is the weight of a new answer in the fault rate.
	faultWeight = 0.15
	// maxFaultRate is the fault rate above which a server is ejected.
	maxFaultRate = 0.35
	// latencyWeight is the weight of a new answer in the mean latency.
	latencyWeight = 0.25
	// slowFactor is the multiple of the service's mean latency above which a
	// server counts as slow.
	slowFactor = 3.5
	// slowSamples is the number of answers needed before a server can count as
	// slow.
	slowSamples = 4
)

// server is the state of one backend server as this VM knows or estimates it.
type server struct {
	registration brfleet.Server
	node         braffinity.Node
	key          brstatus.ServerKey
	listedAt     time.Time // when this run of the server was listed first
	leaving      bool      // the server said that it shuts down
	evacuated    bool      // its failure domain is evacuated
	running      int       // this VM's running requests
	peerLoad     peerLoad
	pausedUntil  time.Time
	failures     int // consecutive
	faultRate    float64
	latency      time.Duration // mean of recent answers
	samples      int
	coldUntil    time.Time
	unreachable  bool // at the last attempt
	pacer        pacer
	recent       recentObjects
	outcomes     outcomeCounts
	// fleetOutcomes is what all VMs together said last about the server.
	fleetOutcomes brstatus.ServerUse
	failing       bool            // by the outcomes of all VMs, see isFailing
	broken        []brokenRequest // by time
}

// Node returns what the order of servers for an object depends on.
func (s *server) Node() *braffinity.Node { return &s.node }

// load returns the estimated number of requests at the server.
func (s *server) load(now time.Time) float64 {
	return float64(s.running) + s.peerLoad.estimate(now)
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

func (s *server) paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// ejected reports whether the server gets no requests because it failed.
func (s *server) ejected(now time.Time) bool { return s.failures > 0 && s.paused(now) }

// pause stops requests to the server for at least the given time.
func (s *server) pause(now time.Time, duration time.Duration) {
	until := now.Add(duration)
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// eject pauses a failing server; the time doubles with each consecutive failure.
func (s *server) eject(now time.Time) {
	duration := min(firstEjection<<min(s.failures, 4), longestEjection)
	s.failures++
	s.pause(now, duration)
}

// recordOutcome records what the end of a request of this VM says about the server.
func (s *server) recordOutcome(now time.Time, o Outcome) {
	s.outcomes.record(now, isBad(o, s.load(now), s.registration.Slots()))
	if load, ok := o.report.Load().Get(); ok {
		s.peerLoad.observe(now, math.Max(float64(load.Running()+load.Waiting()-s.running), 0))
	}
	switch o.kind {
	case brrequest.OutcomeAnswered:
		s.clearBroken(now.Add(-o.latency))
		s.recordAnswer(now, o.latency)
	case brrequest.OutcomeFault:
		s.recordFault(now)
	case brrequest.OutcomeShed:
		s.recordShed(now, o)
	case brrequest.OutcomeNotSent:
		s.unreachable = true
		s.eject(now)
	case brrequest.OutcomeBroken:
		s.recordBroken(now, o)
		s.recordFault(now)
		s.eject(now)
	case brrequest.OutcomeCancelled:
	}
}

func (s *server) recordAnswer(now time.Time, latency time.Duration) {
	if s.unreachable {
		s.unreachable = false
		s.coldUntil = now.Add(recoveryTime)
	}
	s.failures = 0
	s.faultRate *= 1 - faultWeight
	s.samples++
	if s.samples == 1 {
		s.latency = latency
		return
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
}

func (s *server) recordFault(now time.Time) {
	s.faultRate += faultWeight * (1 - s.faultRate)
	if s.faultRate > maxFaultRate {
		s.eject(now)
	}
}

// recordShed handles a refusal by the server. A server that sheds although it reports
// free slots counts as faulty; a full one is paused for a short time, unless it says how
// long it wants no requests.
func (s *server) recordShed(now time.Time, o Outcome) {
	load, reported := o.report.Load().Get()
	if o.report.RetryAfter() > 0 {
		return // the server says itself when it wants requests again
	}
	if reported && load.Running() < s.registration.Slots() {
		s.recordFault(now)
		return
	}
	if !reported && s.peerLoad.isExchanged(now) && s.load(now) < float64(s.registration.Slots()) {
		s.recordFault(now) // full by what it says, but not by what the VMs have there
		return
	}
	if !reported {
		s.peerLoad.observe(now, math.Max(s.peerLoad.estimate(now), float64(s.registration.Slots())))
	}
	s.pause(now, shedPause)
}

// slow reports whether the server's mean latency is far above that of its service.
func (s *server) slow(serviceLatency time.Duration) bool {
	return s.samples >= slowSamples && serviceLatency > 0 && s.latency > time.Duration(slowFactor*float64(serviceLatency))
}
