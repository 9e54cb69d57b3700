package brborrower_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/bradmission"
	"bergamotroad.example/bergamotroad/internal/duty/brborrower"
	"bergamotroad.example/bergamotroad/internal/duty/brlease"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brloan"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

const (
	localDelay  = 500 * time.Microsecond // round trip within a failure domain
	remoteDelay = 24 * time.Millisecond  // round trip between regions
)

var errPartitioned = errors.New("network partition")

// memoryTable is an in-memory table service.
type memoryTable struct {
	mutex   sync.Mutex
	rows    map[string]brtable.Row
	commits int
	version int64
}

func (m *memoryTable) Read(_ context.Context, key string) (brtable.Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return brtable.Row{}, brtable.NewErrRowNotExist(key)
	}
	return row, nil
}

func (*memoryTable) Scan(context.Context, string) ([]brtable.Row, error) { return nil, nil }

func (m *memoryTable) Commit(_ context.Context, transaction brtable.Transaction) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, p := range transaction.Preconditions() {
		if m.rows[p.Key()].Version() != p.Version() {
			return brtable.ErrPrecondition{}
		}
	}
	m.version++
	m.commits++
	for _, w := range transaction.Writes() {
		m.rows[w.Key()] = brtable.NewRow(w.Key(), w.Value(), m.version)
	}
	return nil
}

func (m *memoryTable) count() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.commits
}

// fleet is a set of VMs with their duties, connected by a network with latency.
type fleet struct {
	t           *testing.T
	table       *memoryTable
	vms         []*vm
	partitioned sync.Map // failure domains that are partitioned from the rest of the network
}

type vm struct {
	fleet     *fleet
	name      string
	domain    string
	admission *bradmission.Admission
	holder    *brlease.Holder
	borrower  *brborrower.Borrower
	group     *brduty.Group
	down      atomic.Bool
}

// remoteTable is the table as reached from one VM, with latency and partitions.
type remoteTable struct {
	*memoryTable
	vm *vm
}

func (r remoteTable) Read(ctx context.Context, key string) (brtable.Row, error) {
	time.Sleep(remoteDelay)
	if r.vm.fleet.isPartitioned(r.vm.domain) {
		return brtable.Row{}, brtable.NewErrUnavailable(errPartitioned)
	}
	return r.memoryTable.Read(ctx, key)
}

func (r remoteTable) Commit(ctx context.Context, transaction brtable.Transaction) error {
	time.Sleep(remoteDelay)
	if r.vm.fleet.isPartitioned(r.vm.domain) {
		return brtable.NewErrUnavailable(errPartitioned)
	}
	return r.memoryTable.Commit(ctx, transaction)
}

// lenderPath is the network path from one VM to another.
type lenderPath struct{ from, to *vm }

func (p lenderPath) Lend(ctx context.Context, request brloan.Request) (brloan.Loan, error) {
	delay := localDelay
	if p.from.domain != p.to.domain {
		delay = remoteDelay
	}
	time.Sleep(delay)
	partitioned := p.from.domain != p.to.domain && (p.from.fleet.isPartitioned(p.from.domain) || p.from.fleet.isPartitioned(p.to.domain))
	if p.to.down.Load() || partitioned {
		<-ctx.Done()
		return brloan.Loan{}, errPartitioned
	}
	return p.to.admission.Lend(ctx, request)
}

type ignoreEvents struct{}

func (ignoreEvents) DutyStalled(string, int)          {}
func (ignoreEvents) DutyPanicked(string, any, []byte) {}

func newFleet(t *testing.T, count, domains int, snapshot *brconfig.Snapshot) *fleet {
	f := &fleet{t: t, table: &memoryTable{rows: map[string]brtable.Row{}}}
	for i := range count {
		f.vms = append(f.vms, &vm{fleet: f, name: fmt.Sprint("vm-", i), domain: fmt.Sprint("domain-", i%domains)})
	}
	for _, v := range f.vms {
		v.start(snapshot)
	}
	time.Sleep(30 * time.Second)
	return f
}

func (v *vm) start(snapshot *brconfig.Snapshot) {
	clock := brclock.NewSystem()
	incarnation := fmt.Sprint(v.name, "/", clock.Now().UnixNano())
	v.admission = bradmission.New(clock)
	v.holder = brlease.New(incarnation, v.name, v.domain, clock, remoteTable{v.fleet.table, v}, v.admission, log.New(io.Discard))
	v.borrower = brborrower.New(incarnation, v.name, v.domain, clock, v.admission, func(address string) brborrower.Lender {
		return lenderPath{from: v, to: v.fleet.find(address)}
	})
	v.admission.SetLoanFinder(v.borrower)
	v.group = brduty.NewGroup(context.Background(), clock, ignoreEvents{})
	v.group.Start(v.admission.Duty(), v.holder.Duty(), v.borrower.Duty())
	v.admission.Confirm(clock.Now())
	_ = v.admission.Snapshots().Send(snapshot)
	_ = v.borrower.Snapshots().Send(snapshot)
	_ = v.holder.Snapshots().Send(snapshot)
}

func (f *fleet) find(address string) *vm {
	for _, v := range f.vms {
		if v.name == address {
			return v
		}
	}
	return nil
}

func (f *fleet) isPartitioned(domain string) bool {
	_, partitioned := f.partitioned.Load(domain)
	return partitioned
}

func (f *fleet) stop() {
	for _, v := range f.vms {
		v.group.Stop()
	}
}

// crash stops a VM without a graceful shutdown.
func (v *vm) crash() {
	v.down.Store(true)
	v.group.Stop()
}

func (v *vm) admits() bool {
	v.admission.Confirm(time.Now())
	request := brrequest.New("1", "GET", "/", netipAny).WithKeyHash(brrequest.HashKey("key"))
	decision, err := v.admission.Admit(context.Background(), request)
	require.NoError(v.fleet.t, err)
	return decision.Admitted()
}

func configuration(t *testing.T, count, domains int, rate, burst string, period time.Duration) *brconfig.Snapshot {
	amount := func(text string) brunit.Amount {
		a, err := brunit.Parse(text)
		require.NoError(t, err)
		return a
	}
	meta := brconfig.NewMeta
	hash := brrequest.HashKey("key")
	changes := []brconfig.Change{
		brconfig.Put(brconfig.NewRegion(meta("region"))),
		brconfig.Put(brconfig.NewOrganisation(meta("taller")).WithMaxKeyAge(24 * time.Hour)),
		brconfig.Put(brconfig.NewKey(meta("key"), "taller", fmt.Sprintf("%x", hash[:]))),
		brconfig.Put(brconfig.NewUnit(meta("unit"), amount("1"))),
		brconfig.Put(brconfig.NewContract(meta("contract"), "taller", "unit", amount(rate), period, amount(burst))),
		brconfig.Put(brconfig.NewService(meta("service"))),
		brconfig.Put(brconfig.NewRoute(meta("route"), "service", "/")),
	}
	for i := range domains {
		name := fmt.Sprint("domain-", i)
		changes = append(changes, brconfig.Put(brconfig.NewDomain(meta(name), "region")), brconfig.Put(brconfig.NewSite(meta(name), name)))
	}
	for i := range count {
		name := fmt.Sprint("vm-", i)
		changes = append(changes, brconfig.Put(brconfig.NewVM(meta(name), fmt.Sprint("domain-", i%domains), name, name)))
	}
	snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
	require.NoError(t, err)
	return snapshot
}

// run sends requests at a constant rate to the VM whose index place returns, and
// returns how many requests were sent and how many were refused.
func (f *fleet) run(d, interval time.Duration, place func(elapsed time.Duration) int) (sent, refused int) {
	begin := time.Now()
	for next := time.Duration(0); next < d; next += interval {
		time.Sleep(time.Until(begin.Add(next)))
		sent++
		if !f.vms[place(next)].admits() {
			refused++
		}
	}
	return sent, refused
}

// runLastVM sends requests to the last VM at a constant rate and calls report with the
// result of each.
func (f *fleet) runLastVM(d, interval time.Duration, report func(elapsed time.Duration, admitted bool)) {
	begin := time.Now()
	for next := time.Duration(0); next < d; next += interval {
		time.Sleep(time.Until(begin.Add(next)))
		report(next, f.vms[len(f.vms)-1].admits())
	}
}

func testFleet(t *testing.T, count, domains int, rate, burst string, period time.Duration, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, count, domains, configuration(t, count, domains, rate, burst, period))
		defer f.stop()
		test(t, f)
	})
}
