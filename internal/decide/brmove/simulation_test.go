package brmove_test

import (
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

const (
	oldVersion       = "v1"
	newVersion       = "v2"
	simulationStep   = time.Second
	maxDeliverySteps = 7 // maximum steps until a reachable VM has the latest record
	maxWriteSteps    = 5 // maximum steps until a write of a reachable VM arrives
	baseLatencyMS    = 10
	extraLatencyMS   = 40
)

// defect is the kind of defect of the new version.
type defect string

const (
	good           defect = "good"
	badImmediately defect = "at once"
	badLater       defect = "later"
	badUnderLoad   defect = "under load"
	badOneRoute    defect = "on one route"
	badSlow        defect = "slow"
)

// vm is a simulated VM.
type vm struct {
	gate             *brmove.Gate
	generation       int // generation of the record that it has
	stepsBehind      int // steps for which its record has been out of date
	partitionedUntil time.Time
	placed           int64
	moved            int64   // requests that went to the new version before it was done
	excess           float64 // requests to the new version beyond the cap, so far
	minExcess        float64
	writes           []brmove.Proposal // in transit to the store
	stepsInTransit   int               // steps for which they have been in transit
}

// simulation simulates VMs that share one record of a move.
type simulation struct {
	start        time.Time
	now          time.Time
	record       brconfig.Move
	generation   int
	endStates    []brconfig.MoveState
	endedAt      time.Time
	vms          []*vm
	defect       defect
	defectFrom   time.Time // when the defect begins
	rate         int       // requests per step, VM and route
	routes       []string
	outage       [2]time.Time // from when to when the gates get no outcomes
	unchecked    bool         // the move advances at fixed times
	stuck        bool         // outcomes stop permanently, and a VM is partitioned at the move's end time
	random       *rand.Rand
	firstFaultAt time.Time // first fault of the new version
	minuteNew    int64     // requests to the new version in the minute after firstFaultAt
	minuteAll    int64     // requests to both versions in that minute
}

func newSimulation(limit brunit.Amount, duration time.Duration, vms, rate int, seed uint64) *simulation {
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	record := brconfig.NewMove(brconfig.NewMeta("m"), "lookup", oldVersion, newVersion).
		WithCap(limit).WithTimes(start, start.Add(duration))
	s := &simulation{start: start, now: start, record: record, rate: rate, routes: []string{"read", "write"}, defect: good, random: rand.New(rand.NewPCG(seed, seed))}
	for range vms {
		s.vms = append(s.vms, &vm{gate: brmove.NewGate(start, record)})
	}
	return s
}

// outcome returns the outcome and the latency of a request to a version.
func (s *simulation) outcome(version, route string) (brrequest.OutcomeKind, time.Duration) {
	latency := time.Duration(baseLatencyMS+s.random.IntN(7)) * time.Millisecond
	base := brrequest.OutcomeAnswered
	if s.random.IntN(200) == 0 {
		base = brrequest.OutcomeFault
	}
	if version != newVersion || s.now.Before(s.defectFrom) {
		return base, latency
	}
	switch s.defect {
	case badImmediately, badLater:
		return s.faultyOutcome(latency)
	case badUnderLoad:
		if s.record.Step() >= 2 {
			return s.faultyOutcome(latency)
		}
	case badOneRoute:
		if route == s.routes[0] {
			return s.faultyOutcome(latency)
		}
	case badSlow:
		s.recordFault()
		return base, latency + extraLatencyMS*time.Millisecond
	case good:
	}
	return base, latency
}

// faultyOutcome returns a fault for half of the requests.
func (s *simulation) faultyOutcome(latency time.Duration) (brrequest.OutcomeKind, time.Duration) {
	s.recordFault()
	if s.random.IntN(2) == 0 {
		return brrequest.OutcomeFault, latency
	}
	return brrequest.OutcomeAnswered, latency
}

// recordFault records when the new version first ran a request badly.
func (s *simulation) recordFault() {
	if s.firstFaultAt.IsZero() {
		s.firstFaultAt = s.now
	}
}

// measures reports whether the gates get outcomes, which they don't in the outage.
func (s *simulation) measures() bool {
	return s.now.Before(s.outage[0]) || !s.now.Before(s.outage[1])
}

// send sends one request of a VM.
func (s *simulation) send(v *vm, route string) string {
	version := v.gate.Choose(s.now, route)[0]
	v.gate.RecordPlacement(route)
	kind, latency := s.outcome(version, route)
	if s.measures() && !s.unchecked {
		v.gate.Observe(s.now, version, brrequest.NewOutcome("s", kind, latency).WithRoute(route))
	}
	s.count(version)
	return version
}

// count counts the requests in the minute after the first fault.
func (s *simulation) count(version string) {
	if s.firstFaultAt.IsZero() || s.now.Sub(s.firstFaultAt) >= time.Minute {
		return
	}
	s.minuteAll++
	if version == newVersion {
		s.minuteNew++
	}
}

// deliver passes the latest record to a VM, unless the VM is partitioned or the
// delivery is late.
func (s *simulation) deliver(v *vm, late bool) {
	if v.generation == s.generation {
		v.stepsBehind = 0
		return
	}
	v.stepsBehind++
	if s.now.Before(v.partitionedUntil) || (late && v.stepsBehind < maxDeliverySteps) {
		return
	}
	v.gate.Update(s.now, s.record)
	v.generation = s.generation
	v.stepsBehind = 0
}

// write applies a VM's proposal to the stored record, as a compare-and-set.
func (s *simulation) write(p brmove.Proposal) {
	next, applies := p.Apply(s.now, s.record).Get()
	if !applies {
		return
	}
	s.record = next
	s.generation++
	if p.Final() {
		s.endStates = append(s.endStates, p.State())
		s.endedAt = s.now
	}
}

// propose takes the VM's proposal, and delivers it to the store after a random
// delay.
func (s *simulation) propose(t *rapid.T, v *vm) {
	if p, ok := v.gate.Propose(s.now).Get(); ok && len(v.writes) == 0 {
		v.writes = append(v.writes, p)
	}
	if len(v.writes) == 0 || s.now.Before(v.partitionedUntil) {
		return
	}
	v.stepsInTransit++
	if t == nil || v.stepsInTransit >= maxWriteSteps || rapid.Bool().Draw(t, "write arrives") {
		s.write(v.writes[0])
		v.writes, v.stepsInTransit = nil, 0
	}
}
