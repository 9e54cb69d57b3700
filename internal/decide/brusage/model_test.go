package brusage_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brusage"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

const (
	modelStep = 20 * time.Millisecond
	// disturbedTime is the part of a run with faults, quietTime the part without after it. The
	// latter covers a takeover and the report of the windows that are pending then.
	disturbedTime = 60 * time.Second
	quietTime     = 40 * time.Second
	storeTimeout  = time.Second
	// maxTransit is the longest time from the check of the lease to the arrival at the platform:
	// below a tenth of the lease.
	maxTransit = 250 * time.Millisecond
)

var modelTerms = brmeter.NewTerms(5*time.Second, 10*time.Second, 3*time.Second)

// epoch is the true time of day when the steady clock reads 0.
var epoch = time.Unix(1_767_225_600, 0)

// machine is one machine, whose process may be frozen, killed and started again.
type machine[P brusage.Policy] struct {
	name      string
	run       string
	runs      int
	holder    *brusage.Holder[P]
	corrector brusage.Corrector
	frozen    time.Duration // until
	down      time.Duration // until
	step      time.Duration // of the time of day
	leads     bool
	leadsFrom time.Duration
	stopping  bool
	isolated  bool // from most others
}

// event happens at a time.
type event struct {
	at time.Duration
	do func()
}

// model is a platform and a store with machines that compete for the lease, in virtual time.
type model[P brusage.Policy] struct {
	random   *rand.Rand
	now      time.Duration
	quiet    bool
	machines []*machine[P]
	events   []event
	row      brmeter.Row
	version  uint64
	// storeAway is the time until which the store handles no calls.
	storeAway time.Duration
	platform  platformModel
}

// modelCall is a call that arrived at the platform.
type modelCall struct {
	at       time.Duration
	run      string
	token    uint64
	window   int64
	counts   map[string]uint64
	accepted bool
}

// platformModel checks the calls in the order of their arrival.
type platformModel struct {
	calls []modelCall
	wrong error
}

func (p *platformModel) receive(call modelCall) {
	for i := len(p.calls) - 1; i >= 0 && p.wrong == nil; i-- {
		earlier := p.calls[i]
		switch {
		case earlier.window == call.window && !maps.Equal(earlier.counts, call.counts):
			p.wrong = fmt.Errorf("window %d has counts %v and %v", call.window, earlier.counts, call.counts)
		case earlier.token > call.token:
			p.wrong = fmt.Errorf("token %d after %d", call.token, earlier.token)
		case earlier.token == call.token && earlier.run != call.run:
			p.wrong = fmt.Errorf("token %d of both %s and %s", call.token, earlier.run, call.run)
		case earlier.run == call.run && call.at-earlier.at < modelTerms.Lease():
			for _, between := range p.calls[i+1:] {
				if between.run != call.run && p.wrong == nil {
					p.wrong = fmt.Errorf("%s, %s, %s within %s", call.run, between.run, call.run, call.at-earlier.at)
				}
			}
		}
	}
	p.calls = append(p.calls, call)
}

func newModel[P brusage.Policy](seed uint64) *model[P] {
	m := &model[P]{random: rand.New(rand.NewPCG(seed, 1))}
	for i := range 3 {
		a := &machine[P]{name: fmt.Sprint("vm-", i), leads: true}
		m.machines = append(m.machines, a)
		m.start(a)
	}
	return m
}

func (m *model[P]) start(a *machine[P]) {
	a.runs++
	a.run = fmt.Sprintf("%s/%d", a.name, a.runs)
	a.corrector, a.step, a.stopping = brusage.Corrector{}, 0, false
	a.leadsFrom = m.now
	a.holder = brusage.NewHolder[P](modelTerms, a.name, a.run, m.instant(a))
}

func (m *model[P]) instant(a *machine[P]) brusage.Instant {
	return a.corrector.Correct(m.now, epoch.Add(m.now+a.step))
}

// modelCounter has counts that differ by machine and time, so that windows that are fixed twice
// are noticed.
type modelCounter struct {
	run      string
	now      time.Duration
	isolated bool
}

func (c modelCounter) Total(int64) (map[string]uint64, bool) {
	return map[string]uint64{c.run: uint64(c.now)}, true
}

func (c modelCounter) Missing(int64) (missing, expected int) {
	if c.isolated {
		return 2, 3
	}
	return 0, 3
}

func (modelCounter) First() (int64, bool) { return modelTerms.Number(epoch), true }

// run plays a run and returns what the platform finds wrong.
func (m *model[P]) play() error {
	for m.now < disturbedTime+quietTime && m.platform.wrong == nil {
		m.now += modelStep
		if m.quiet = m.now >= disturbedTime; !m.quiet {
			m.disturb()
		}
		slices.SortStableFunc(m.events, func(a, b event) int { return int(a.at - b.at) })
		for len(m.events) > 0 && m.events[0].at <= m.now {
			next := m.events[0]
			m.events = m.events[1:]
			next.do()
		}
		for _, a := range m.machines {
			m.act(a)
		}
	}
	return m.platform.wrong
}

// chance is true once in the given time on average.
func (m *model[P]) chance(every time.Duration) bool {
	return m.random.Float64() < float64(modelStep)/float64(every)
}

// upTo returns a random time.
func (m *model[P]) upTo(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}

func (m *model[P]) disturb() {
	if m.chance(15 * time.Second) {
		m.storeAway = m.now + m.upTo(5*time.Second)
	}
	for _, a := range m.machines {
		if m.chance(15 * time.Second) {
			a.frozen = m.now + m.upTo(7*time.Second)
		}
		if m.chance(20 * time.Second) {
			a.step = m.upTo(10*time.Second) - 5*time.Second
		}
		if m.chance(25 * time.Second) {
			a.down = m.now + m.upTo(2*time.Second)
			m.start(a)
		}
		if m.chance(25 * time.Second) {
			a.leads, a.leadsFrom = !a.leads, m.now
		}
		if m.chance(20 * time.Second) {
			a.isolated = !a.isolated
		}
		if m.chance(40*time.Second) && !a.stopping {
			a.stopping = true
			m.forRun(a, a.run, 3*time.Second, func() { m.start(a) })
		}
	}
	if m.chance(60 * time.Second) {
		for _, a := range m.machines {
			a.down = m.now + time.Second
			m.start(a)
		}
	}
}

// after does something for a machine after a delay, once it isn't frozen any more.
func (m *model[P]) after(a *machine[P], delay time.Duration, do func()) {
	m.events = append(m.events, event{at: m.now + delay, do: func() {
		if a.frozen > m.now {
			m.after(a, a.frozen-m.now, do)
			return
		}
		do()
	}})
}

// forRun does something after a delay if the machine's process is still the given run.
func (m *model[P]) forRun(a *machine[P], run string, delay time.Duration, do func()) {
	m.after(a, delay, func() {
		if a.run == run {
			do()
		}
	})
}

func (m *model[P]) act(a *machine[P]) {
	if a.frozen > m.now || a.down > m.now {
		return
	}
	if m.quiet {
		a.isolated = false
		if !a.leads {
			a.leads, a.leadsFrom = true, m.now
		}
	}
	now := m.instant(a)
	view := brusage.NewView(modelCounter{run: a.run, now: m.now, isolated: a.isolated}, a.leads, a.leadsFrom)
	if a.stopping {
		view = view.WithStopping()
	}
	if call, ok := a.holder.NextStoreCall(now, view); ok {
		m.callStore(a, call)
	}
	if send, ok := a.holder.NextSend(now); ok {
		m.send(a, send)
	}
}

// callStore passes a call to the store. A write that gets no response may be applied seconds
// later, also after its machine's process has ended.
func (m *model[P]) callStore(a *machine[P], call brusage.StoreCall) {
	run, started, transit, back := a.run, m.now, m.upTo(100*time.Millisecond), m.upTo(100*time.Millisecond)
	lost := !m.quiet && m.random.IntN(10) == 0
	late := lost && m.random.IntN(2) == 0
	if late {
		transit += m.upTo(5 * time.Second)
	}
	m.events = append(m.events, event{at: m.now + transit, do: func() {
		if m.storeAway > m.now && !late {
			if !lost {
				m.forRun(a, run, back, func() { m.observe(a, call, started, brmeter.Row{}, 0, brusage.NotApplied) })
			}
			return
		}
		outcome, row := m.apply(call)
		if !lost {
			version := m.version
			m.forRun(a, run, back, func() { m.observe(a, call, started, row, version, outcome) })
		}
	}})
	if lost {
		m.forRun(a, run, storeTimeout, func() { m.observe(a, call, started, brmeter.Row{}, 0, brusage.Unknown) })
	}
}

func (m *model[P]) apply(call brusage.StoreCall) (brusage.Outcome, brmeter.Row) {
	if !call.IsWrite() {
		return brusage.Applied, m.row
	}
	if call.Expected() != m.row.Version() {
		return brusage.Conflict, brmeter.Row{}
	}
	m.version++
	m.row = brmeter.NewRow(call.Lease(), m.version)
	return brusage.Applied, m.row
}

func (m *model[P]) observe(a *machine[P], call brusage.StoreCall, started time.Duration, row brmeter.Row, version uint64, outcome brusage.Outcome) {
	switch {
	case call.IsWrite():
		a.holder.ObserveWrite(started, m.instant(a), version, outcome)
	case outcome == brusage.Unknown:
		a.holder.ObserveRead(m.instant(a), row, brusage.NotApplied)
	default:
		a.holder.ObserveRead(m.instant(a), row, outcome)
	}
}

// send passes a call to the platform. It leaves the machine a moment later, or when the machine
// is thawed, if the lease lasts then.
func (m *model[P]) send(a *machine[P], send brusage.Send) {
	run := a.run
	m.forRun(a, run, m.upTo(200*time.Millisecond), func() {
		if !a.holder.MayAct(m.now) {
			a.holder.ObserveSend(m.instant(a), brusage.NotApplied)
			return
		}
		fate, response := 0, maxTransit
		if !m.quiet {
			fate, response = m.random.IntN(5), response+m.upTo(3*time.Second)
		}
		m.events = append(m.events, event{at: m.now + m.upTo(maxTransit), do: func() {
			m.platform.receive(modelCall{
				at: m.now, run: run, token: send.Token(), window: send.Report().Window(),
				counts: send.Report().Counts(), accepted: fate != 1,
			})
		}})
		outcome := []brusage.Outcome{brusage.Applied, brusage.NotApplied, brusage.Unknown, brusage.Applied, brusage.Applied}[fate]
		m.forRun(a, run, response, func() { a.holder.ObserveSend(m.instant(a), outcome) })
	})
}

// missing returns the windows that were due before the end of the quiet time and of which no
// report was accepted.
func (m *model[P]) missing() []int64 {
	accepted := map[int64]bool{}
	for _, call := range m.platform.calls {
		accepted[call.window] = accepted[call.window] || call.accepted
	}
	missing := []int64{}
	for window := modelTerms.Number(epoch); modelTerms.End(window).Add(modelTerms.Late()).Before(epoch.Add(m.now)); window++ {
		if !accepted[window] {
			missing = append(missing, window)
		}
	}
	return missing
}

// Holders that die, freeze, are partitioned from the store or lose responses must not break the
// invariants of the reports, and all windows are reported once the faults are over. Guards
// against two counts for a window, tokens that decrease or are shared, and holders that
// alternate.
func TestHoldersKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel[brusage.Fenced](rapid.Uint64().Draw(t, "seed"))
		require.NoError(t, m.play())
		require.Empty(t, m.missing())
	})
}

// unexpired is a policy without the end of the lease.
type unexpired struct{ brusage.Fenced }

func (unexpired) MayAct(time.Duration, time.Duration) bool { return true }

// unnumbered is a policy with the same token for all holders.
type unnumbered struct{ brusage.Fenced }

func (unnumbered) NextToken(uint64) uint64 { return 1 }

// The model must be able to find what each part of the fencing prevents.
func TestModelFindsMissingFencing(t *testing.T) {
	require.NotEmpty(t, firstFailure[unexpired]())
	require.NotEmpty(t, firstFailure[unnumbered]())
}

// firstFailure returns what is wrong in the first of some runs that fails, or "".
func firstFailure[P brusage.Policy]() string {
	for seed := range uint64(100) {
		if err := newModel[P](seed).play(); err != nil {
			return fmt.Sprintf("seed %d: %v", seed, err)
		}
	}
	return ""
}
