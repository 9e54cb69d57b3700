package brshare_test

import (
	"fmt"
	"math/big"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brallocation"
	"bergamotroad.example/bergamotroad/internal/model/brloan"
)

const (
	loanLease = 8 * time.Second
	domains   = 2
)

// process is a VM's process with its own clock.
type process struct {
	name          string
	domain        int
	clockErrorPPM int64
	loanCount     uint64
	startCount    int
	limit         int // index of the limit in use
	slots         *brshare.SlotManager
	account       *brshare.Account
	loans         []borrowedLoan
}

// borrowedLoan is a loan that a process has requested, with its lender.
type borrowedLoan struct {
	id     brshare.LoanID
	lender *process
}

func (p *process) incarnation() string { return fmt.Sprintf("%s/%d", p.name, p.startCount) }

// message is in flight between two processes, or between a process and the table.
type message struct {
	deliver    func()
	to         *process
	startCount int // of the receiver when the message was sent
}

// simulation runs processes, a table and a message bus in fake time. It checks the
// admitted requests with a leaky bucket: its level stays at or below the burst if and
// only if no window of time has admitted more than rate x time + burst.
type simulation struct {
	t                 *rapid.T
	elapsed           time.Duration
	limits            []brshare.Limit
	processes         []*process
	allocation        brallocation.Allocation
	allocationVersion int
	targets           [domains]brshare.Parts
	rows              [domains]brallocation.Row
	versions          [domains]int
	floors            int // in each domain
	bus               []message
	level             *big.Int // of the leaky bucket, in scaled units x period
	burst             int64
	admitted          int64
}

func newSimulation(t *rapid.T, count int, limits ...brshare.Limit) *simulation {
	s := &simulation{t: t, limits: limits, level: new(big.Int), floors: (count + domains - 1) / domains, burst: limits[0].Burst()}
	for i := range domains {
		s.targets[i] = brallocation.Even(brshare.Whole, i, domains)
	}
	for i := range count {
		p := &process{name: fmt.Sprint("vm-", i), domain: i % domains, clockErrorPPM: rapid.Int64Range(-500, 500).Draw(t, "clock")}
		s.processes = append(s.processes, p)
		s.start(p)
	}
	return s
}

func (s *simulation) now(p *process) time.Time {
	return start.Add(s.elapsed + s.elapsed/1_000_000*time.Duration(p.clockErrorPPM))
}

func (s *simulation) start(p *process) {
	p.startCount++
	p.loans = nil
	p.slots = brshare.NewSlotManager(p.incarnation(), p.name, brshare.DefaultLeaseSettings())
	p.account = brshare.NewAccount(s.limits[p.limit], s.now(p))
}

func (s *simulation) advance(d time.Duration) {
	s.elapsed += d
	rate := int64(0)
	for _, p := range s.processes {
		rate = max(rate, s.limits[p.limit].PerPeriod())
	}
	drained := new(big.Int).Mul(big.NewInt(rate), big.NewInt(int64(d)))
	s.level.Sub(s.level, drained)
	if s.level.Sign() < 0 {
		s.level.SetInt64(0)
	}
}

// changeLimit switches one process to another limit. If that reduces the largest burst in
// use, the level is reduced as well, since earlier windows were allowed the larger burst.
func (s *simulation) changeLimit(p *process, limit int) {
	p.limit = limit
	p.account.SetLimit(s.limits[limit], s.now(p))
	burst := int64(0)
	for _, p := range s.processes {
		burst = max(burst, s.limits[p.limit].Burst())
	}
	if burst < s.burst {
		reduction := new(big.Int).Mul(big.NewInt(s.burst-burst), big.NewInt(int64(s.limits[0].Period())))
		s.level.Sub(s.level, reduction)
		if s.level.Sign() < 0 {
			s.level.SetInt64(0)
		}
	}
	s.burst = burst
}

func (s *simulation) take(p *process, weight int64) bool {
	if !p.account.Take(weight, s.now(p)) {
		return false
	}
	s.admitted += weight
	s.level.Add(s.level, new(big.Int).Mul(big.NewInt(weight), big.NewInt(int64(s.limits[0].Period()))))
	return true
}

// updateRow reads the domain's row and returns the message that writes it. The response is a
// separate message.
func (s *simulation) updateRow(p *process) (message, bool) {
	requestedAt, row, version := s.now(p), s.rows[p.domain], s.versions[p.domain]
	p.slots.Observe(row, s.now(p))
	domain, allocationVersion := fmt.Sprint("domain-", p.domain), s.allocationVersion
	layout := brshare.NewLayout(s.allocation, domain, s.targets[p.domain], s.floors)
	next, changed := p.slots.NextRow(row, layout, true, s.now(p))
	allocation, err := s.allocation.With(domain, next.Parts())
	if !changed || err != nil {
		return message{}, false
	}
	slots, account := p.slots, p.account
	return message{to: p, startCount: p.startCount, deliver: func() {
		reallocates := next.Parts() != row.Parts()
		if s.versions[p.domain] != version || reallocates && s.allocationVersion != allocationVersion {
			return
		}
		if reallocates {
			s.allocation, s.allocationVersion = allocation, allocationVersion+1
		}
		s.rows[p.domain], s.versions[p.domain] = next, version+1
		s.send(p, func() {
			for _, g := range slots.RecordWrite(row, next, requestedAt) {
				account.Grant(g.Slot(), g.Parts(), g.End(), s.now(p))
			}
		})
	}}, true
}

func (s *simulation) send(to *process, deliver func()) {
	s.bus = append(s.bus, message{to: to, startCount: to.startCount, deliver: deliver})
}

// requestLoan requests a loan. The lender's response is a separate message.
func (s *simulation) requestLoan(borrower, lender *process) {
	borrower.loanCount++
	id := brloan.NewID(borrower.incarnation(), borrower.loanCount)
	borrower.loans = append(borrower.loans, borrowedLoan{id: id, lender: lender})
	s.attempt(borrower, lender, id)
}

// renew repeats all loan requests of a process.
func (s *simulation) renew(borrower *process) {
	for _, l := range borrower.loans {
		s.attempt(borrower, l.lender, l.id)
	}
}

func (s *simulation) attempt(borrower, lender *process, id brshare.LoanID) {
	account := borrower.account
	attempt := account.BeginAttempt(id, s.now(borrower))
	s.send(lender, func() {
		loan := lender.account.Lend(id, loanLease, s.now(lender))
		s.send(borrower, func() { account.Borrow(attempt, loan, s.now(borrower)) })
	})
}

// deliver delivers a message of the bus. With repeat, a copy stays on the bus. Messages
// to a process that has restarted since are lost.
func (s *simulation) deliver(index int, repeat bool) {
	m := s.bus[index]
	s.bus = append(s.bus[:index:index], s.bus[index+1:]...)
	if repeat {
		s.bus = append(s.bus, m)
	}
	if m.to == nil || m.startCount == m.to.startCount {
		m.deliver()
	}
}

// check fails if the usable parts exceed the whole or the leaky bucket overflows.
func (s *simulation) check() {
	var sum brshare.Parts
	for _, p := range s.processes {
		sum += p.account.Parts(s.now(p))
	}
	require.LessOrEqual(s.t, sum, brshare.Whole, "sum of usable parts")
	bound := new(big.Int).Mul(big.NewInt(s.burst), big.NewInt(int64(s.limits[0].Period())))
	require.LessOrEqual(s.t, s.level.Cmp(bound), 0, "admitted above rate x time + burst")
}
