package brdispatch_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/duty/brclaimstore"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

// Outcomes of a table transaction.
const (
	commitApplied = iota
	commitRefused
	commitResponseLost
	commitLate
	commitLost
)

// Outcomes of a request at a server.
const (
	sendCompleted = iota
	sendNotSent
	sendShed
	sendUnknownNotRun
	sendUnknownRan
	sendTruncated
	sendLarge
)

// commitDelay is the delay before a transaction with commitLate takes effect.
const commitDelay = 1700 * time.Millisecond

// plan is a generated schedule of calls and faults.
type plan struct {
	calls      []plannedCall
	crashSteps []int           // by VM: the step at which it crashes, or 0 if it does not
	partitions []time.Duration // by VM: how long the table is unreachable at first
	commits    []int
	sends      []int
}

type plannedCall struct {
	at           time.Duration
	vm           int
	organisation string
	key          string
	body         string
	disconnects  bool
}

// claimCluster is a cluster of VMs that share a table and a server. It runs in a
// synctest bubble. Several goroutines may run at once there, so lock guards the
// shared state.
type claimCluster struct {
	plan     plan
	lock     chan struct{}
	table    *brplatform.Table
	vms      []*claimVM
	commits  int
	sends    int
	runs     map[string][]string // requests that ran, by organisation and key
	runsOf   map[string]int      // number of runs by request
	attempts map[string]string   // organisation and key by request
}

func newClaimCluster(ctx context.Context, p plan) *claimCluster {
	c := &claimCluster{
		plan:     p,
		lock:     make(chan struct{}, 1),
		table:    brplatform.NewTable(brplatform.NewFaults()),
		runs:     map[string][]string{},
		runsOf:   map[string]int{},
		attempts: map[string]string{},
	}
	clock := brclock.NewSystem()
	for i, crashStep := range p.crashSteps {
		vm := &claimVM{cluster: c, crashStep: crashStep, partitionedUntil: clock.Now().Add(p.partitions[i]), group: brduty.NewGroup(ctx, clock, brobserver.Nop{})}
		claims := brclaimstore.New(vm, clock)
		vm.group.Start(claims.Duty())
		vm.dispatcher = brdispatch.New(fmt.Sprint("vm-", i), clock, vm, vm, vm, vm, vm, vm, claims, vm, vm, vm)
		c.vms = append(c.vms, vm)
	}
	return c
}

func (c *claimCluster) locked(do func()) {
	c.lock <- struct{}{}
	defer func() { <-c.lock }()
	do()
}

func (c *claimCluster) stop() {
	for _, vm := range c.vms {
		vm.group.Stop()
	}
	time.Sleep(commitDelay)
}

type ignore struct{}

// claimVM is one VM. It crashes at a given step, counted over its calls to the
// table and the server.
type claimVM struct {
	cluster          *claimCluster
	crashStep        int
	steps            int
	crashed          bool
	partitionedUntil time.Time
	group            *brduty.Group
	dispatcher       *brdispatch.Dispatcher
}

// partitioned reports whether the VM is partitioned from the table.
func (v *claimVM) partitioned() bool { return time.Now().Before(v.partitionedUntil) }

// step counts one step and reports whether the VM has crashed.
func (v *claimVM) step() bool {
	crashed := false
	v.cluster.locked(func() {
		v.steps++
		v.crashed = v.crashed || v.steps == v.crashStep
		crashed = v.crashed
	})
	return crashed
}

func (v *claimVM) Read(ctx context.Context, key string) (brtable.Row, error) {
	if v.step() || v.partitioned() {
		return brtable.Row{}, brtable.NewErrUnavailable(errBroken)
	}
	row, err := v.cluster.table.Read(ctx, key)
	if v.step() {
		return brtable.Row{}, brtable.NewErrUnavailable(errBroken)
	}
	return row, err
}

func (v *claimVM) Scan(ctx context.Context, prefix string) ([]brtable.Row, error) {
	return v.cluster.table.Scan(ctx, prefix)
}

func (v *claimVM) Commit(ctx context.Context, transaction brtable.Transaction) error {
	if v.step() || v.partitioned() {
		return brtable.NewErrUnavailable(errBroken)
	}
	err := v.commit(ctx, transaction)
	if v.step() {
		return brtable.NewErrUnavailable(errBroken)
	}
	return err
}

func (v *claimVM) commit(ctx context.Context, transaction brtable.Transaction) error {
	c := v.cluster
	outcome := commitApplied
	c.locked(func() {
		outcome = c.plan.commits[c.commits%len(c.plan.commits)]
		c.commits++
	})
	time.Sleep(time.Millisecond)
	switch outcome {
	case commitRefused:
		return brtable.NewErrUnavailable(errBroken)
	case commitResponseLost:
		_ = c.table.Commit(ctx, transaction)
		return brtable.NewErrOutcomeUnknown(errBroken)
	case commitLate:
		go func() {
			time.Sleep(commitDelay)
			_ = c.table.Commit(context.WithoutCancel(ctx), transaction)
		}()
		return brtable.NewErrOutcomeUnknown(errBroken)
	case commitLost:
		return brtable.NewErrOutcomeUnknown(errBroken)
	default:
		return c.table.Commit(ctx, transaction)
	}
}

// Send runs a request at the only server, or fails before, during or after the run.
func (v *claimVM) Send(ctx context.Context, _ brconfig.Server, call brmessage.Call) (*brmessage.Response, error) {
	if v.step() {
		return nil, brbackend.NewErrNotSent(errBroken)
	}
	c := v.cluster
	outcome := sendCompleted
	request := call.Fields().First("X-Request-Id")
	c.locked(func() {
		outcome = c.plan.sends[c.sends%len(c.plan.sends)]
		c.sends++
		if outcome != sendNotSent && outcome != sendShed && outcome != sendUnknownNotRun {
			c.runsOf[request]++
			key := c.attempts[request]
			c.runs[key] = append(c.runs[key], request)
		}
	})
	time.Sleep(time.Second)
	if v.step() || ctx.Err() != nil {
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	}
	switch outcome {
	case sendNotSent:
		return nil, brbackend.NewErrNotSent(errBroken)
	case sendShed:
		return nil, brbackend.NewErrShed(0)
	case sendUnknownNotRun, sendUnknownRan:
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	case sendTruncated:
		return newResponse(io.MultiReader(strings.NewReader("a comp"), brokenReader{})), nil
	case sendLarge:
		return newResponse(strings.NewReader(strings.Repeat(request, 100<<10))), nil
	default:
		return newResponse(strings.NewReader(request)), nil
	}
}

// Admit admits each request and takes the organisation from its path.
func (*claimVM) Admit(_ context.Context, request brrequest.Request) (brrequest.Decision, error) {
	route := brconfig.NewRoute(brconfig.NewMeta("entries"), "ledger", "/").WithRepeat(brconfig.RepeatOnce)
	return brrequest.Admit(strings.TrimPrefix(request.Path(), "/"), route, 1), nil
}

func (*claimVM) Guard(ctx context.Context, _ brrequest.KeyHash) (context.Context, context.CancelFunc, error) {
	return ctx, func() {}, nil
}

func (*claimVM) Pick(context.Context, brrequest.Placement) (brconfig.Server, error) {
	return brconfig.NewServer(brconfig.NewMeta("ledger-1"), "ledger", "este-a", "", 1), nil
}

func (*claimVM) Release(brrequest.Outcome) {}

func (*claimVM) Earn(string) {}

func (*claimVM) Spend(context.Context, string) bool { return true }

func (*claimVM) Next(context.Context, string, []string) (brrequest.Target, bool) {
	return brrequest.Target{}, false
}

func (*claimVM) Report(brrequest.Target, brrequest.OutcomeKind) {}

func (*claimVM) Begin(context.Context, brrequest.Fingerprint) brpoison.Verdict {
	return brpoison.Admitted
}

func (*claimVM) ReportCompletion(brrequest.Fingerprint) {}

func (*claimVM) ReportInconclusive(brrequest.Fingerprint) {}

func (*claimVM) ReportCrash(brrequest.Fingerprint, string) {}

func (*claimVM) IsDead(context.Context, string) bool { return false }

func (*claimVM) Forward(context.Context, brrequest.Target, brrequest.Request, brrequest.Decision, brmessage.Call) (*brmessage.Response, error) {
	return nil, brbackend.NewErrNotSent(errBroken)
}

func (*claimVM) Record(brevent.Event) {}
