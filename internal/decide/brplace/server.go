package brplace

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// othersHalfLife is the time in which half of what other VMs had at a server
	// beyond their usual is taken to have ended: about one request's work.
	othersHalfLife = 300 * time.Millisecond
	// usualHalfLife is the time in which half of what other VMs usually have at a
	// server is taken to be another: the pace at which traffic moves.
	usualHalfLife = 1500 * time.Millisecond
	// shedPause keeps requests away from a server that has just shed one: the
	// time in which a slot becomes free at a full server.
	shedPause = 60 * time.Millisecond
	// firstEjection and longestEjection bound the time for which a server that
	// fails gets nothing; it doubles with each failure in a row.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// returnCaution is the time for which a server that could not be reached is
	// treated as cold once it answers, since it may have started anew.
	returnCaution = 3 * time.Second
	// faultWeight is the weight of the newest answer in the share of faults.
	faultWeight = 0.15
	// faultyShare is the share of faults above which a server is ejected.
	faultyShare = 0.35
	// latencyWeight is the weight of the newest answer in the mean latency.
	latencyWeight = 0.25
	// slowFactor is how many times the service's usual latency makes a server slow.
	slowFactor = 3.5
	// slowSamples is the number of answers before a server is judged by its latency.
	slowSamples = 4
)

// server is what the VM believes of one backend server.
type server struct {
	traits    brfleet.Server
	hash      uint64 // of the identifier
	mine      int    // requests of this VM at the server
	others    crowd
	pausedTo  time.Time
	failures  int // in a row
	faults    float64
	latency   time.Duration // mean of recent answers
	samples   int
	coldUntil time.Time
	cautious  bool // unreachable when last tried
	pace      pacer
	memory    memory
	broken    []broken // requests that broke off, by time
}

func (s *server) load(now time.Time) float64 {
	return float64(s.mine) + s.others.now(now)
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

func (s *server) paused(now time.Time) bool { return now.Before(s.pausedTo) }

// pause keeps requests away for some time.
func (s *server) pause(now time.Time, length time.Duration) {
	until := now.Add(length)
	if until.After(s.pausedTo) {
		s.pausedTo = until
	}
}

// fail ejects the server, for longer with each failure in a row.
func (s *server) fail(now time.Time) {
	length := min(firstEjection<<min(s.failures, 4), longestEjection)
	s.failures++
	s.pause(now, length)
}

// settle takes note of how a request of this VM ended.
func (s *server) settle(now time.Time, o Outcome) {
	s.mine = max(s.mine-1, 0)
	if load, ok := o.load.Get(); ok {
		s.others.learn(now, math.Max(float64(load.Running()+load.Waiting()-s.mine), 0))
	}
	switch o.kind {
	case brrequest.OutcomeAnswered:
		s.lived(now.Add(-o.latency))
		s.answered(now, o.latency)
	case brrequest.OutcomeFault:
		s.fault(now)
	case brrequest.OutcomeShed:
		s.shed(now, o)
	case brrequest.OutcomeNotSent:
		s.cautious = true
		s.fail(now)
	case brrequest.OutcomeBroken:
		s.breaks(now, o)
		s.fault(now)
		s.fail(now)
	case brrequest.OutcomeCancelled:
	}
}

func (s *server) answered(now time.Time, latency time.Duration) {
	if s.cautious {
		s.cautious = false
		s.coldUntil = now.Add(returnCaution)
	}
	s.failures = 0
	s.faults *= 1 - faultWeight
	s.samples++
	if s.samples == 1 {
		s.latency = latency
		return
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
}

func (s *server) fault(now time.Time) {
	s.faults += faultWeight * (1 - s.faults)
	if s.faults > faultyShare {
		s.fail(now)
	}
}

// shed tells a server that is full from one that sheds with slots to spare.
func (s *server) shed(now time.Time, o Outcome) {
	load, told := o.load.Get()
	if told && load.Running() < s.traits.Slots() {
		s.fault(now)
		return
	}
	if !told {
		s.others.learn(now, math.Max(s.others.now(now), float64(s.traits.Slots())))
	}
	s.pause(now, shedPause)
}

// slow reports whether the server is much slower than its service usually is.
func (s *server) slow(usual time.Duration) bool {
	return s.samples >= slowSamples && usual > 0 && s.latency > time.Duration(slowFactor*float64(usual))
}
