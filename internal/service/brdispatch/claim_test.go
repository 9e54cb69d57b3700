package brdispatch_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// claimResult is the result of a call. Its field received is false if the VM
// crashed before the caller could get the result.
type claimResult struct {
	received bool
	result   dispatchResult
	writer   *fieldWriter
}

type dispatchResult interface {
	Fate() brrequest.Fate
	Reason() brrequest.Reason
	Started() bool
	IsComplete() bool
}

// fieldWriter also stores the header fields of the response.
type fieldWriter struct {
	memoryWriter
	fields brmessage.Fields
}

func (f *fieldWriter) WriteHead(status int, fields brmessage.Fields) error {
	f.fields = fields
	return f.memoryWriter.WriteHead(status, fields)
}

func (f *fieldWriter) replayed() bool {
	return f.heads > 0 && f.fields.First("Bergamotroad-Replayed") == "1"
}

func drawPlan(t *rapid.T) plan {
	p := plan{}
	at := time.Duration(0)
	for range rapid.IntRange(2, 12).Draw(t, "calls") {
		at += time.Duration(rapid.SampledFrom([]int{0, 1, 100, 300, 300, 700, 1200, 2500, 40000}).Draw(t, "milliseconds")) * time.Millisecond
		p.calls = append(p.calls, plannedCall{
			at:           at,
			vm:           rapid.IntRange(0, 2).Draw(t, "vm"),
			organisation: rapid.SampledFrom([]string{"taller-norte", "taller-norte", "taller-sur"}).Draw(t, "organisation"),
			key:          rapid.SampledFrom([]string{"k1", "k1", "k1", "k2"}).Draw(t, "key"),
			body:         rapid.SampledFrom([]string{"same", "same", "other"}).Draw(t, "body"),
			disconnects:  rapid.IntRange(0, 3).Draw(t, "disconnects") == 0,
		})
	}
	for range 3 {
		p.crashSteps = append(p.crashSteps, rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 12}).Draw(t, "crash"))
		p.partitions = append(p.partitions, time.Duration(rapid.SampledFrom([]int{0, 0, 1200, 2200, 3000, 4000}).Draw(t, "partition"))*time.Millisecond)
	}
	for range 8 {
		p.commits = append(p.commits, rapid.SampledFrom([]int{commitApplied, commitApplied, commitApplied, commitRefused, commitResponseLost, commitLate, commitLost}).Draw(t, "commit"))
	}
	for range 6 {
		p.sends = append(p.sends, rapid.SampledFrom([]int{sendCompleted, sendNotSent, sendNotSent, sendShed, sendUnknownNotRun, sendUnknownRan, sendTruncated, sendLarge}).Draw(t, "send"))
	}
	return p
}

func (c *claimCluster) dispatch(ctx context.Context, i int, call plannedCall) claimResult {
	time.Sleep(call.at)
	vm := c.vms[call.vm]
	if vm.step() {
		return claimResult{}
	}
	id := fmt.Sprint("request-", i)
	c.locked(func() { c.attempts[id] = call.organisation + "/" + call.key })
	fields := brmessage.NewFields(nil)
	fields.Set("X-Request-Id", id)
	fields.Set("Idempotency-Key", call.key)
	if call.disconnects {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
	}
	request := brrequest.New(id, "POST", "/"+call.organisation, netip.Addr{})
	writer := &fieldWriter{}
	result := vm.dispatcher.Dispatch(ctx, request, brmessage.NewCall("POST", "/x", fields, strings.NewReader(call.body), -1), writer)
	received := false
	c.locked(func() { received = !vm.crashed })
	return claimResult{received: received, result: result, writer: writer}
}

// runSchedule runs the planned calls and returns their results.
func (c *claimCluster) runSchedule(ctx context.Context) []claimResult {
	results := make([]claimResult, len(c.plan.calls))
	done := make(chan struct{})
	for i, call := range c.plan.calls {
		go func() {
			results[i] = c.dispatch(ctx, i, call)
			done <- struct{}{}
		}()
	}
	for range c.plan.calls {
		<-done
	}
	time.Sleep(10 * time.Second)
	return results
}

// violations lists each violation of the guarantees for claimed requests.
func (c *claimCluster) violations(results []claimResult) []string {
	violations := []string{}
	for key, ran := range c.runs {
		if len(ran) > 1 {
			violations = append(violations, fmt.Sprintf("%s ran as %v", key, ran))
		}
	}
	for i, r := range results {
		if !r.received {
			continue
		}
		id := fmt.Sprint("request-", i)
		ran := c.runs[c.attempts[id]]
		if r.result.Fate() == brrequest.FateNotRun && c.runsOf[id] > 0 {
			violations = append(violations, id+" ran, but was reported as not run: "+string(r.result.Reason()))
		}
		if r.result.Fate() == brrequest.FateRan && len(ran) == 0 {
			violations = append(violations, id+" was reported as run, but no request with its key ran")
		}
		if r.writer.replayed() && (len(ran) != 1 || !r.result.IsComplete() || r.writer.body.String() != ran[0]) {
			violations = append(violations, fmt.Sprintf("%s: replayed response %q, but the runs of its key are %v", id, r.writer.body.String(), ran))
		}
		if r.result.Started() && !r.writer.replayed() && c.runsOf[id] != 1 {
			violations = append(violations, id+" got a response that is not a replay, but did not run exactly once")
		}
	}
	return violations
}

// Whichever writes to the table and requests to the server fail, and at whatever
// step VMs crash: a key of an organisation runs at most once, a request reported
// as not run did not run, and a replayed response is that of the run.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := drawPlan(r)
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			c := newClaimCluster(t.Context(), p)
			results := c.runSchedule(t.Context())
			c.stop()
			violations = c.violations(results)
		})
		require.Empty(r, violations)
	})
}
