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
	name    string
	domain  int
	rate    int64 // clock rate error in ppm
	number  uint64
	starts  int
	limit   int
	tenancy *brshare.SlotManager
	account *brshare.Account
	loans   []lent
}

type lent struct {
	id     brshare.LoanID
	lender *process
}

func (p *process) incarnation() string { return fmt.Sprintf("%s/%d", p.name, p.starts) }

// message is in flight between two processes, or between a process and the table.
type message struct {
	deliver func()
	to      *process
	starts  int
}

// simulation runs processes, a table and a message bus in fake time. It checks the
// admitted requests with a leaky bucket: its level stays at or below the burst if and
// only if no window of time has admitted more than rate x time + burst.
type simulation struct {
	t               *rapid.T
	elapsed         time.Duration
	limits          []brshare.Limit
	processes       []*process
	division        brallocation.Allocation
	divisionVersion int
	targets         [domains]brshare.Parts
	rows            [domains]brallocation.Row
	versions        [domains]int
	floors          int
	bus             []message
	queue           *big.Int // scaled units x period
	burst           int64
	admitted        int64
}

func newSimulation(t *rapid.T, count int, limits ...brshare.Limit) *simulation {
	w := &simulation{t: t, limits: limits, queue: new(big.Int), floors: (count + domains - 1) / domains, burst: limits[0].Burst()}
	for i := range domains {
		w.targets[i] = brallocation.Even(brshare.Whole, i, domains)
	}
	for i := range count {
		p := &process{name: fmt.Sprint("vm-", i), domain: i % domains, rate: rapid.Int64Range(-500, 500).Draw(t, "clock")}
		w.processes = append(w.processes, p)
		w.start(p)
	}
	return w
}

func (w *simulation) now(p *process) time.Time {
	return start.Add(w.elapsed + w.elapsed/1_000_000*time.Duration(p.rate))
}

func (w *simulation) start(p *process) {
	p.starts++
	p.loans = nil
	p.tenancy = brshare.NewSlotManager(p.incarnation(), p.name, brshare.DefaultLeaseSettings())
	p.account = brshare.NewAccount(w.limits[p.limit], w.now(p))
}

func (w *simulation) advance(d time.Duration) {
	w.elapsed += d
	rate := int64(0)
	for _, p := range w.processes {
		rate = max(rate, w.limits[p.limit].PerPeriod())
	}
	drained := new(big.Int).Mul(big.NewInt(rate), big.NewInt(int64(d)))
	w.queue.Sub(w.queue, drained)
	if w.queue.Sign() < 0 {
		w.queue.SetInt64(0)
	}
}

// changeLimit switches one process to another limit. If that reduces the largest burst in
// use, the level is reduced as well, since earlier windows were allowed the larger burst.
func (w *simulation) changeLimit(p *process, limit int) {
	p.limit = limit
	p.account.SetLimit(w.limits[limit], w.now(p))
	burst := int64(0)
	for _, p := range w.processes {
		burst = max(burst, w.limits[p.limit].Burst())
	}
	if burst < w.burst {
		less := new(big.Int).Mul(big.NewInt(w.burst-burst), big.NewInt(int64(w.limits[0].Period())))
		w.queue.Sub(w.queue, less)
		if w.queue.Sign() < 0 {
			w.queue.SetInt64(0)
		}
	}
	w.burst = burst
}

func (w *simulation) take(p *process, weight int64) bool {
	if !p.account.Take(weight, w.now(p)) {
		return false
	}
	w.admitted += weight
	w.queue.Add(w.queue, new(big.Int).Mul(big.NewInt(weight), big.NewInt(int64(w.limits[0].Period()))))
	return true
}

// visit reads the domain's row and returns the message that writes it. The response is a
// separate message.
func (w *simulation) visit(p *process) (message, bool) {
	asked, row, version := w.now(p), w.rows[p.domain], w.versions[p.domain]
	p.tenancy.Observe(row, w.now(p))
	domain, divisionVersion := fmt.Sprint("domain-", p.domain), w.divisionVersion
	layout := brshare.NewLayout(w.division, domain, w.targets[p.domain], w.floors)
	next, changed := p.tenancy.NextRow(row, layout, true, w.now(p))
	division, err := w.division.With(domain, next.Parts())
	if !changed || err != nil {
		return message{}, false
	}
	tenancy, account := p.tenancy, p.account
	return message{to: p, starts: p.starts, deliver: func() {
		divides := next.Parts() != row.Parts()
		if w.versions[p.domain] != version || divides && w.divisionVersion != divisionVersion {
			return
		}
		if divides {
			w.division, w.divisionVersion = division, divisionVersion+1
		}
		w.rows[p.domain], w.versions[p.domain] = next, version+1
		w.send(p, func() {
			for _, g := range tenancy.Committed(row, next, asked) {
				account.Grant(g.Slot(), g.Parts(), g.End(), w.now(p))
			}
		})
	}}, true
}

func (w *simulation) send(to *process, deliver func()) {
	w.bus = append(w.bus, message{to: to, starts: to.starts, deliver: deliver})
}

// ask requests a loan. The lender's response is a separate message.
func (w *simulation) ask(borrower, lender *process) {
	borrower.number++
	id := brloan.NewID(borrower.incarnation(), borrower.number)
	borrower.loans = append(borrower.loans, lent{id: id, lender: lender})
	w.attempt(borrower, lender, id)
}

// renew repeats all loan requests of a process.
func (w *simulation) renew(borrower *process) {
	for _, l := range borrower.loans {
		w.attempt(borrower, l.lender, l.id)
	}
}

func (w *simulation) attempt(borrower, lender *process, id brshare.LoanID) {
	account := borrower.account
	attempt := account.BeginAttempt(id, w.now(borrower))
	w.send(lender, func() {
		loan := lender.account.Lend(id, loanLease, w.now(lender))
		w.send(borrower, func() { account.Borrow(attempt, loan, w.now(borrower)) })
	})
}

// deliver delivers a message of the bus. With repeat, a copy stays on the bus. Messages
// to a process that has restarted since are lost.
func (w *simulation) deliver(index int, repeat bool) {
	m := w.bus[index]
	w.bus = append(w.bus[:index:index], w.bus[index+1:]...)
	if repeat {
		w.bus = append(w.bus, m)
	}
	if m.to == nil || m.starts == m.to.starts {
		m.deliver()
	}
}

func (w *simulation) check() {
	var sum brshare.Parts
	for _, p := range w.processes {
		sum += p.account.Parts(w.now(p))
	}
	require.LessOrEqual(w.t, sum, brshare.Whole, "sum of usable parts")
	bound := new(big.Int).Mul(big.NewInt(w.burst), big.NewInt(int64(w.limits[0].Period())))
	require.LessOrEqual(w.t, w.queue.Cmp(bound), 0, "admitted above rate x time + burst")
}
