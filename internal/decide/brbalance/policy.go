package brbalance

import (
	"math/rand/v2"
	"time"
)

// Policy selects one of the servers with a free slot. There is at least one.
type Policy interface {
	choose(free []*candidate, random *rand.Rand, rotation int) *candidate
}

// TwoChoices selects the less loaded of two random servers.
type TwoChoices struct{}

func (TwoChoices) choose(free []*candidate, random *rand.Rand, _ int) *candidate {
	first := random.IntN(len(free))
	if len(free) == 1 {
		return free[first]
	}
	second := random.IntN(len(free) - 1)
	if second >= first {
		second++
	}
	mean := meanLatency(free)
	if free[second].score(mean) < free[first].score(mean) {
		return free[second]
	}
	return free[first]
}

// LeastLoaded selects the least loaded server.
type LeastLoaded struct{}

func (LeastLoaded) choose(free []*candidate, _ *rand.Rand, rotation int) *candidate {
	mean := meanLatency(free)
	best := free[rotation%len(free)]
	for _, c := range free {
		if c.score(mean) < best.score(mean) {
			best = c
		}
	}
	return best
}

// RoundRobin selects the servers in turn.
type RoundRobin struct{}

func (RoundRobin) choose(free []*candidate, _ *rand.Rand, rotation int) *candidate {
	return free[rotation%len(free)]
}

// meanLatency returns the mean of the known latencies, which is assumed for servers
// that have not answered yet.
func meanLatency(free []*candidate) time.Duration {
	sum, known := time.Duration(0), time.Duration(0)
	for _, c := range free {
		if c.latency > 0 {
			sum += c.latency
			known++
		}
	}
	if known == 0 {
		return time.Millisecond
	}
	return sum / known
}
