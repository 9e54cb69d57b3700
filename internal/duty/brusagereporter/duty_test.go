package brusagereporter_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/duty/brusagecounter"
	"bergamotroad.example/bergamotroad/internal/duty/brusagereporter"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	"bergamotroad.example/bergamotroad/internal/peer/brbilling"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
)

var terms = brmeter.NewTerms(5*time.Second, 10*time.Second, 3*time.Second)

const (
	// callTimeout is the time after which a call to the store without a response ends.
	callTimeout = time.Second
	// settled is the time after a start in which one VM acquires the lease.
	settled = 5 * time.Second
)

// steadyClock is a steady clock in a bubble of synctest.
type steadyClock struct{ start time.Time }

func (s steadyClock) Reading() time.Duration { return time.Since(s.start) }

// storeMode is how the fake store fails for one VM.
type storeMode int

const (
	storeWorks storeMode = iota
	storeUnavailable
	storeSlow        // responds after slowDelay
	storeLosesReply  // carries writes out and doesn't respond
	storeAppliesLate // doesn't respond and carries writes out after lateDelay
)

const (
	slowDelay = 500 * time.Millisecond
	lateDelay = 2 * time.Second
)

// fakeTable is the row in the store.
type fakeTable struct {
	mutex   sync.Mutex
	row     brmeter.Row
	version uint64
	writes  int
	modes   map[string]storeMode // by VM
}

// tableClient is the store for one VM.
type tableClient struct {
	table *fakeTable
	vm    *testVM
}

func (c tableClient) begin() storeMode {
	c.vm.awaitThaw()
	c.table.mutex.Lock()
	defer c.table.mutex.Unlock()
	return c.table.modes[c.vm.name]
}

func (c tableClient) Lease(context.Context) (brmeter.Row, error) {
	switch c.begin() {
	case storeUnavailable:
		return brmeter.Row{}, brtable.NewErrUnavailable(errors.New("outage"))
	case storeSlow:
		time.Sleep(slowDelay)
	case storeLosesReply, storeAppliesLate:
		time.Sleep(callTimeout)
		return brmeter.Row{}, brtable.NewErrUnavailable(errors.New("no response"))
	}
	c.table.mutex.Lock()
	defer c.table.mutex.Unlock()
	return c.table.row, nil
}

func (c tableClient) PutLease(_ context.Context, lease brmeter.Lease, expected uint64) (uint64, error) {
	switch c.begin() {
	case storeUnavailable:
		return 0, brtable.NewErrUnavailable(errors.New("outage"))
	case storeSlow:
		time.Sleep(slowDelay)
	case storeLosesReply:
		_, _ = c.table.put(lease, expected)
		time.Sleep(callTimeout)
		return 0, brtable.NewErrOutcomeUnknown(errors.New("no response"))
	case storeAppliesLate:
		time.AfterFunc(lateDelay, func() { _, _ = c.table.put(lease, expected) })
		time.Sleep(callTimeout)
		return 0, brtable.NewErrOutcomeUnknown(errors.New("no response"))
	}
	return c.table.put(lease, expected)
}

func (f *fakeTable) put(lease brmeter.Lease, expected uint64) (uint64, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.writes++
	if expected != f.row.Version() {
		return 0, brtable.ErrPrecondition{}
	}
	f.version++
	f.row = brmeter.NewRow(lease, f.version)
	return f.version, nil
}

func (f *fakeTable) setMode(vm string, mode storeMode) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.modes[vm] = mode
}

func (f *fakeTable) writeCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.writes
}

func (f *fakeTable) lease() brmeter.Lease {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.row.Lease()
}

// received is a report that arrived at the fake platform.
type received struct {
	at       time.Time
	holder   string
	token    uint64
	report   brmeter.Report
	accepted bool
}

// fakePlatform records reports.
type fakePlatform struct {
	mutex  sync.Mutex
	calls  []received
	status int           // of responses; 0 accepts, -1 never responds
	delay  time.Duration // of responses
}

// platformClient is the platform for one VM.
type platformClient struct {
	platform *fakePlatform
	vm       *testVM
}

func (c platformClient) Report(ctx context.Context, call brbilling.Call) error {
	c.vm.awaitThaw()
	if !call.MayAct() {
		return brbilling.ErrExpired{}
	}
	f := c.platform
	f.mutex.Lock()
	status, delay := f.status, f.delay
	f.calls = append(f.calls, received{at: time.Now(), holder: call.Holder(), token: call.Token(), report: call.Report(), accepted: status == 0})
	f.mutex.Unlock()
	if status < 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if status > 0 {
		return brbilling.NewErrRejected(status)
	}
	return nil
}

func (f *fakePlatform) set(status int, delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.status, f.delay = status, delay
}

func (f *fakePlatform) received() []received {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]received{}, f.calls...)
}

// check checks what the platform requires of all calls.
func (f *fakePlatform) check(t *testing.T) {
	t.Helper()
	counts, holders, last := map[int64]map[string]uint64{}, map[uint64]string{}, uint64(0)
	for _, c := range f.received() {
		window := c.report.Window()
		if earlier, ok := counts[window]; ok {
			require.True(t, maps.Equal(earlier, c.report.Counts()), "window %d has two counts", window)
		}
		require.GreaterOrEqual(t, c.token, last, "token decreases")
		if holder, ok := holders[c.token]; ok {
			require.Equal(t, holder, c.holder, "two holders with token %d", c.token)
		}
		counts[window], holders[c.token], last = c.report.Counts(), c.holder, c.token
	}
}

// reportedWindows returns how often each window was accepted.
func (f *fakePlatform) reportedWindows() map[int64]int {
	windows := map[int64]int{}
	for _, c := range f.received() {
		if c.accepted {
			windows[c.report.Window()]++
		}
	}
	return windows
}

// testVM is a VM with its duties.
type testVM struct {
	name     string
	counter  *brusagecounter.Counter
	reporter *brusagereporter.Reporter
	group    *brduty.Group
	mutex    sync.Mutex
	thawed   chan struct{} // nil if the VM isn't frozen
	cut      bool          // off from the other VMs
}

// freeze stops the VM's calls before they are sent, as a suspended process does.
func (v *testVM) freeze() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.thawed = make(chan struct{})
}

func (v *testVM) thaw() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	close(v.thawed)
	v.thawed = nil
}

func (v *testVM) awaitThaw() {
	v.mutex.Lock()
	thawed := v.thawed
	v.mutex.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// kill ends the VM without giving anything up.
func (v *testVM) kill() { v.group.Stop() }

// deployment is a few VMs over one store and one platform.
type deployment struct {
	table    *fakeTable
	platform *fakePlatform
	start    time.Time
	vms      []*testVM
	runs     int
}

type observer struct{}

func (observer) DutyStalled(string, int) {}

func (observer) DutyPanicked(name string, value any, stack []byte) {
	panic(fmt.Sprint(name, ": ", value, "\n", string(stack)))
}

func newDeployment(t *testing.T, count int) *deployment {
	d := &deployment{table: &fakeTable{modes: map[string]storeMode{}}, platform: &fakePlatform{}, start: time.Now()}
	for i := range count {
		d.startVM(t, fmt.Sprint("vm-", i))
	}
	return d
}

func (d *deployment) startVM(t *testing.T, name string) *testVM {
	clock, steady := brclock.NewSystem(), steadyClock{start: d.start}
	d.runs++
	v := &testVM{name: name}
	v.counter = brusagecounter.New(clock, steady, terms, name, fmt.Sprint(name, "/", d.runs))
	v.reporter = brusagereporter.New(clock, steady, terms, name, v.counter, func() bool { return true },
		tableClient{table: d.table, vm: v}, platformClient{platform: d.platform, vm: v}, brjournal.New(clock, name, io.Discard))
	v.group = brduty.NewGroup(t.Context(), clock, observer{})
	v.group.Start(append(v.reporter.Duties(), v.counter.Duty())...)
	d.vms = append(d.vms, v)
	return v
}

// share makes all VMs know the counts of all others, as they do by their reports.
func (d *deployment) share() {
	for _, from := range d.vms {
		snapshot := from.counter.Snapshot()
		for _, to := range d.vms {
			if from.cut || to.cut {
				continue
			}
			to.counter.Merge(brmeter.NewUsage(snapshot.Run(), snapshot.Since(0)), false)
		}
	}
}

// play lets time pass, with one request on each VM and an exchange of counts each second.
func (d *deployment) play(duration time.Duration) {
	for range int(duration / time.Second) {
		for _, v := range d.vms {
			v.counter.Count("yefi", time.Now())
		}
		time.Sleep(time.Second)
		d.share()
	}
}

func (d *deployment) holder(t *testing.T) *testVM {
	t.Helper()
	name := d.table.lease().Holder()
	for i := len(d.vms) - 1; i >= 0; i-- {
		if d.vms[i].name == name {
			return d.vms[i]
		}
	}
	require.Fail(t, "no holder")
	return nil
}

func (d *deployment) stop() {
	for _, v := range d.vms {
		v.group.Stop()
	}
}

// requireAllReported checks that each window between the first one reported and the latest one
// due was accepted.
func (d *deployment) requireAllReported(t *testing.T) {
	t.Helper()
	d.platform.check(t)
	windows := d.platform.reportedWindows()
	require.NotEmpty(t, windows)
	last := terms.Number(time.Now().Add(-terms.Late())) - 1
	for window := terms.Number(d.start); window <= last; window++ {
		require.NotZero(t, windows[window], "window %d", window)
	}
}

// run plays a scenario in virtual time.
func run(t *testing.T, count int, scenario func(t *testing.T, d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, count)
		defer d.stop()
		d.play(settled)
		scenario(t, d)
	})
}

// Without faults, each window is reported once and in time, by one holder, with about one write
// a second.
func TestEachWindowIsReportedOnce(t *testing.T) {
	run(t, 3, func(t *testing.T, d *deployment) {
		before := d.table.writeCount()
		d.play(60 * time.Second)
		require.LessOrEqual(t, d.table.writeCount()-before, 70)
		d.requireAllReported(t)
		tokens := map[uint64]bool{}
		for _, c := range d.platform.received() {
			tokens[c.token] = true
			require.Less(t, c.at.Sub(terms.End(c.report.Window())), 4*time.Second)
			require.Equal(t, 1, d.platform.reportedWindows()[c.report.Window()])
		}
		require.Len(t, tokens, 1)
	})
}

// A holder that dies at any time of a window is replaced, and its windows are reported in time:
// before they are fixed, between fixing and sending, and after sending.
func TestSuccessorReportsWindowsOfDeadHolder(t *testing.T) {
	for offset := time.Duration(0); offset < terms.Window(); offset += 250 * time.Millisecond {
		run(t, 3, func(t *testing.T, d *deployment) {
			d.play(20 * time.Second)
			time.Sleep(offset)
			dead := d.holder(t)
			dead.kill()
			d.play(30 * time.Second)
			require.NotEqual(t, dead, d.holder(t))
			d.requireAllReported(t)
			for _, c := range d.platform.received() {
				require.Less(t, c.at.Sub(terms.End(c.report.Window())), terms.Late(), "killed at %s", offset)
			}
		})
	}
}

// A holder dies after its report has arrived and before it knows. Its successor sends the same
// counts, although it knows of more by then.
func TestSuccessorRepeatsFixedCounts(t *testing.T) {
	run(t, 2, func(t *testing.T, d *deployment) {
		d.play(10 * time.Second)
		d.platform.set(-1, 0)
		d.play(6 * time.Second)
		calls := d.platform.received()
		sent := calls[len(calls)-1].report
		dead := d.holder(t)
		dead.kill()
		for _, v := range d.vms {
			v.counter.Count("yefi", terms.End(sent.Window()).Add(-time.Second))
		}
		d.platform.set(0, 0)
		d.play(20 * time.Second)
		require.NotEqual(t, dead, d.holder(t))
		require.NotZero(t, d.platform.reportedWindows()[sent.Window()])
		d.requireAllReported(t)
	})
}

// The holder is cut off from the other VMs, but neither from the store nor from the platform. A
// VM that has the counts of the others reports them. Guards against reports with the counts of
// one VM only.
func TestIsolatedHolderHandsOver(t *testing.T) {
	run(t, 4, func(t *testing.T, d *deployment) {
		d.play(12 * time.Second)
		isolated := d.holder(t)
		isolated.cut = true
		d.play(10 * time.Second)
		require.NotEqual(t, isolated, d.holder(t))
		d.play(15 * time.Second)
		require.NotEqual(t, isolated, d.holder(t))
		isolated.cut = false
		d.play(20 * time.Second)
		d.requireAllReported(t)
		for _, c := range d.platform.received() {
			require.GreaterOrEqual(t, c.report.Counts()["yefi"], uint64(3*4), "window %d", c.report.Window())
		}
	})
}

// Most VMs are killed: the one that is left reports, although it lacks the counts of most.
func TestLastVMReports(t *testing.T) {
	run(t, 4, func(t *testing.T, d *deployment) {
		d.play(12 * time.Second)
		for _, v := range d.vms[1:] {
			v.kill()
		}
		d.vms = d.vms[:1]
		d.play(30 * time.Second)
		d.requireAllReported(t)
		for _, c := range d.platform.received() {
			require.Less(t, c.at.Sub(terms.End(c.report.Window())), terms.Late())
		}
	})
}

// The holder is cut off from the store, which works for the others: it stops to act before
// another VM does.
func TestHolderWithoutStoreIsReplaced(t *testing.T) {
	for _, mode := range []storeMode{storeUnavailable, storeLosesReply, storeAppliesLate} {
		run(t, 2, func(t *testing.T, d *deployment) {
			d.play(10 * time.Second)
			cut := d.holder(t)
			d.table.setMode(cut.name, mode)
			d.play(20 * time.Second)
			require.NotEqual(t, cut, d.holder(t), "mode %d", mode)
			d.table.setMode(cut.name, storeWorks)
			d.play(20 * time.Second)
			d.requireAllReported(t)
		})
	}
}

// A store that fails for all, or is slow, delays reports and breaks nothing.
func TestStoreFailsForAll(t *testing.T) {
	for _, mode := range []storeMode{storeUnavailable, storeSlow, storeLosesReply, storeAppliesLate} {
		run(t, 3, func(t *testing.T, d *deployment) {
			d.play(10 * time.Second)
			for _, v := range d.vms {
				d.table.setMode(v.name, mode)
			}
			d.play(12 * time.Second)
			for _, v := range d.vms {
				d.table.setMode(v.name, storeWorks)
			}
			d.play(30 * time.Second)
			d.requireAllReported(t)
		})
	}
}

// The platform rejects calls, is slow or does not respond: reports are repeated until they are
// accepted, at a bounded rate, and the lease stays where it is.
func TestPlatformFails(t *testing.T) {
	for _, failure := range []struct {
		status int
		delay  time.Duration
	}{{status: 429}, {status: 503}, {delay: 2 * time.Second}, {status: -1}} {
		run(t, 2, func(t *testing.T, d *deployment) {
			d.play(10 * time.Second)
			holder := d.holder(t)
			d.platform.set(failure.status, failure.delay)
			before := len(d.platform.received())
			d.play(12 * time.Second)
			require.LessOrEqual(t, len(d.platform.received())-before, 16, "status %d", failure.status)
			d.platform.set(0, 0)
			d.play(30 * time.Second)
			require.Equal(t, holder, d.holder(t))
			d.requireAllReported(t)
		})
	}
}

// A holder that is suspended while it sends must not send after another VM has taken over, when
// it is thawed. Guards against a check of the lease that is not made again.
func TestThawedHolderSendsNothing(t *testing.T) {
	run(t, 2, func(t *testing.T, d *deployment) {
		d.play(10 * time.Second)
		frozen := d.holder(t)
		frozen.freeze()
		d.play(12 * time.Second)
		require.NotEqual(t, frozen, d.holder(t))
		before := len(d.platform.received())
		frozen.thaw()
		time.Sleep(500 * time.Millisecond)
		for _, c := range d.platform.received()[before:] {
			require.NotEqual(t, frozen.name, c.holder)
		}
		d.play(20 * time.Second)
		d.requireAllReported(t)
	})
}

// A VM that shuts down gives the lease up: another one takes over at once and reports the last
// window. A new run under the old name does not get the lease back within lease_s.
func TestShutdownHandsOver(t *testing.T) {
	run(t, 2, func(t *testing.T, d *deployment) {
		d.play(11 * time.Second)
		leaver := d.holder(t)
		token := d.table.lease().Token()
		leaver.reporter.Leave()
		time.Sleep(1500 * time.Millisecond)
		require.NotEqual(t, leaver.name, d.table.lease().Holder())
		require.Equal(t, token+1, d.table.lease().Token())
		leaver.kill()
		d.startVM(t, leaver.name)
		d.play(20 * time.Second)
		require.Equal(t, token+1, d.table.lease().Token())
		d.requireAllReported(t)
	})
}

// All VMs are killed in a window and start again three windows later. The windows in which none
// ran are reported as empty; the one in which they were killed and the one before, whose counts
// nobody knows, aren't reported at all.
func TestWindowsWithoutVMsAreReportedAsEmpty(t *testing.T) {
	run(t, 2, func(t *testing.T, d *deployment) {
		d.play(11 * time.Second)
		killed := terms.Number(time.Now())
		unknown := d.table.lease().Next()
		for _, v := range d.vms {
			v.kill()
		}
		time.Sleep(3*terms.Window() + 2*time.Second)
		started := terms.Number(time.Now())
		d.vms = nil
		for i := range 2 {
			d.startVM(t, fmt.Sprint("vm-", i))
		}
		d.play(20 * time.Second)
		d.platform.check(t)
		reports := map[int64]brmeter.Report{}
		for _, c := range d.platform.received() {
			reports[c.report.Window()] = c.report
		}
		for window := unknown; window <= killed; window++ {
			require.NotContains(t, reports, window)
		}
		for window := killed + 1; window < started; window++ {
			require.Contains(t, reports, window)
			require.Empty(t, reports[window].Counts())
		}
		require.NotEmpty(t, reports[started].Counts())
	})
}

// All VMs are killed and start again: the lease's sequence of tokens goes on, and what was fixed
// before is reported.
func TestRestartOfAll(t *testing.T) {
	run(t, 3, func(t *testing.T, d *deployment) {
		d.platform.set(429, 0)
		d.play(12 * time.Second)
		token, pending := d.table.lease().Token(), d.table.lease().Pending()
		require.NotEmpty(t, pending)
		for _, v := range d.vms {
			v.kill()
		}
		time.Sleep(2 * time.Second)
		d.vms = nil
		for i := range 3 {
			d.startVM(t, fmt.Sprint("vm-", i))
		}
		d.platform.set(0, 0)
		d.play(20 * time.Second)
		require.Greater(t, d.table.lease().Token(), token)
		for _, report := range pending {
			require.NotZero(t, d.platform.reportedWindows()[report.Window()])
		}
		d.platform.check(t)
	})
}
