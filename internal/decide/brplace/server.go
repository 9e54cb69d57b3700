package brplace

import (
	"math"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// othersHalfLife is the half-life of other VMs' load at a server above its
	// mean: about the duration of one request.
	othersHalfLife = 300 * time.Millisecond
	// usualHalfLife is the half-life of the mean load of other VMs at a server:
	// the time scale on which traffic changes.
	usualHalfLife = 1500 * time.Millisecond
	// shedPause is how long a server gets no requests after it shed one: the
	// time in which a slot becomes free at a full server.
	shedPause = 60 * time.Millisecond
	// firstEjection and longestEjection bound the time for which a failing
	// server gets no requests; the time doubles with each failure in a row.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// returnCaution is how long a server is treated as cold once it answers
	// after it was unreachable, since it may have restarted.
	returnCaution = 3 * time.Second
	// faultWeight is the weight of a new answer in the fault rate.
	faultWeight = 0.15
	// faultyShare is the fault rate above which a server is ejected.
	faultyShare = 0.35
	// latencyWeight is the weight of a new answer in the mean latency.
	latencyWeight = 0.25
	// slowFactor is the multiple of the service's mean latency above which a
	// server counts as slow.
	slowFactor = 3.5
	// slowSamples is the number of answers needed before a server can count as
	// slow.
	slowSamples = 4
)

// server holds what this VM knows and estimates about one backend server.
type server struct {
	traits    brfleet.Server
	hash      uint64 // of the server's identifier
	mine      int    // this VM's running requests
	others    crowd
	pausedTo  time.Time
	failures  int // consecutive
	faults    float64
	latency   time.Duration // mean of recent answers
	samples   int
	coldUntil time.Time
	cautious  bool // unreachable at the last attempt
	pace      pacer
	memory    memory
	broken    []broken // by time
}

func (s *server) load(now time.Time) float64 {
	return float64(s.mine) + s.others.now(now)
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

func (s *server) paused(now time.Time) bool { return now.Before(s.pausedTo) }

// pause stops requests to the server for at least the given time.
func (s *server) pause(now time.Time, length time.Duration) {
	until := now.Add(length)
	if until.After(s.pausedTo) {
		s.pausedTo = until
	}
}

// fail ejects the server; the time doubles with each consecutive failure.
func (s *server) fail(now time.Time) {
	length := min(firstEjection<<min(s.failures, 4), longestEjection)
	s.failures++
	s.pause(now, length)
}

// settle records how a request of this VM ended.
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

// shed handles a refusal by the server. A server that sheds although it reports
// free slots counts as faulty; a full one is paused for a short time.
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

// slow reports whether the server's mean latency is far above its service's.
func (s *server) slow(usual time.Duration) bool {
	return s.samples >= slowSamples && usual > 0 && s.latency > time.Duration(slowFactor*float64(usual))
}
