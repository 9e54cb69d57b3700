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
	oldVersion = "v1"
	newVersion = "v2"
	worldStep  = time.Second
	spreadMost = 7 // maximum steps until a reachable VM has the latest record
	writeMost  = 5 // maximum steps until a write of a reachable VM arrives
	commonMS   = 10
	slowMS     = 40
)

// badness is the kind of defect of the new version.
type badness string

const (
	good        badness = "good"
	badAtOnce   badness = "at once"
	badLater    badness = "later"
	badLoad     badness = "under load"
	badOneRoute badness = "on one route"
	badSlow     badness = "slow"
)

// vm is a simulated VM.
type vm struct {
	gate      *brmove.Gate
	known     int // generation of the record that it has
	behind    int // steps for which its record has been out of date
	cutUntil  time.Time
	placed    int64
	moved     int64 // requests that went to the new version before it was done
	over      float64
	leastOver float64
	writes    []brmove.Proposal // in transit to the store
	waited    int               // steps for which they have been in transit
}

// world simulates VMs that share one record of a move.
type world struct {
	start      time.Time
	now        time.Time
	record     brconfig.Move
	generation int
	finals     []brconfig.MoveState
	endedAt    time.Time
	vms        []*vm
	bad        badness
	badFrom    time.Time
	rate       int // requests per step, VM and route
	routes     []string
	noMeasures [2]time.Time
	brakeless  bool
	stuck      bool // outcomes stop permanently, and a VM is partitioned at the move's end time
	random     *rand.Rand
	shownAt    time.Time // first fault of the new version
	minute     int64     // requests to the new version in the minute after shownAt
	minuteAll  int64     // requests to both versions in that minute
}

func newWorld(limit brunit.Amount, lasts time.Duration, vms, rate int, seed uint64) *world {
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	record := brconfig.NewMove(brconfig.NewMeta("m"), "lookup", oldVersion, newVersion).
		WithCap(limit).WithTimes(start, start.Add(lasts))
	w := &world{start: start, now: start, record: record, rate: rate, routes: []string{"read", "write"}, bad: good, random: rand.New(rand.NewPCG(seed, seed))}
	for range vms {
		w.vms = append(w.vms, &vm{gate: brmove.NewGate(start, record)})
	}
	return w
}

// kind returns the outcome and the latency of a request to a version.
func (w *world) kind(version, route string) (brrequest.OutcomeKind, time.Duration) {
	latency := time.Duration(commonMS+w.random.IntN(7)) * time.Millisecond
	base := brrequest.OutcomeAnswered
	if w.random.IntN(200) == 0 {
		base = brrequest.OutcomeFault
	}
	if version != newVersion || w.now.Before(w.badFrom) {
		return base, latency
	}
	switch w.bad {
	case badAtOnce, badLater:
		return w.broken(latency)
	case badLoad:
		if w.record.Step() >= 2 {
			return w.broken(latency)
		}
	case badOneRoute:
		if route == w.routes[0] {
			return w.broken(latency)
		}
	case badSlow:
		w.show()
		return base, latency + slowMS*time.Millisecond
	case good:
	}
	return base, latency
}

func (w *world) broken(latency time.Duration) (brrequest.OutcomeKind, time.Duration) {
	w.show()
	if w.random.IntN(2) == 0 {
		return brrequest.OutcomeFault, latency
	}
	return brrequest.OutcomeAnswered, latency
}

func (w *world) show() {
	if w.shownAt.IsZero() {
		w.shownAt = w.now
	}
}

func (w *world) measures() bool {
	return w.now.Before(w.noMeasures[0]) || !w.now.Before(w.noMeasures[1])
}

// place sends one request of a VM.
func (w *world) place(v *vm, route string) string {
	version := v.gate.Choose(w.now, route)[0]
	v.gate.Placed(route)
	kind, latency := w.kind(version, route)
	if w.measures() && !w.brakeless {
		v.gate.Observe(w.now, version, brrequest.NewOutcome("s", kind, latency).WithRoute(route))
	}
	w.count(version)
	return version
}

func (w *world) count(version string) {
	if w.shownAt.IsZero() || w.now.Sub(w.shownAt) >= time.Minute {
		return
	}
	w.minuteAll++
	if version == newVersion {
		w.minute++
	}
}

// tell delivers the latest record to a VM, unless the VM is partitioned or the
// delivery is late.
func (w *world) tell(v *vm, late bool) {
	if v.known == w.generation {
		v.behind = 0
		return
	}
	v.behind++
	if w.now.Before(v.cutUntil) || (late && v.behind < spreadMost) {
		return
	}
	v.gate.Update(w.now, w.record)
	v.known = w.generation
	v.behind = 0
}

// write applies a VM's proposal to the stored record, as a compare-and-set.
func (w *world) write(p brmove.Proposal) {
	next, due := p.Apply(w.now, w.record).Get()
	if !due {
		return
	}
	w.record = next
	w.generation++
	if p.Final() {
		w.finals = append(w.finals, p.State())
		w.endedAt = w.now
	}
}

// propose takes the VM's proposal, and delivers it to the store after a random
// delay.
func (w *world) propose(t *rapid.T, v *vm) {
	if p, ok := v.gate.Propose(w.now).Get(); ok && len(v.writes) == 0 {
		v.writes = append(v.writes, p)
	}
	if len(v.writes) == 0 || w.now.Before(v.cutUntil) {
		return
	}
	v.waited++
	if t == nil || v.waited >= writeMost || rapid.Bool().Draw(t, "write arrives") {
		w.write(v.writes[0])
		v.writes, v.waited = nil, 0
	}
}
