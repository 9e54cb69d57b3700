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

// claimResult is the result of a call. It is not told if the VM crashed before the
// caller could have received it.
type claimResult struct {
	told   bool
	result toldResult
	answer *fieldWriter
}

type toldResult interface {
	Fate() brrequest.Fate
	Reason() brrequest.Reason
	Started() bool
	Whole() bool
}

// fieldWriter also stores the header fields of the answer.
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
			hangsUp:      rapid.IntRange(0, 3).Draw(t, "hangs up") == 0,
		})
	}
	for range 3 {
		p.crashes = append(p.crashes, rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 12}).Draw(t, "crash"))
		p.cuts = append(p.cuts, time.Duration(rapid.SampledFrom([]int{0, 0, 1200, 2200, 3000, 4000}).Draw(t, "cut"))*time.Millisecond)
	}
	for range 8 {
		p.commits = append(p.commits, rapid.SampledFrom([]int{commitTaken, commitTaken, commitTaken, commitRefused, commitAnswerLost, commitLate, commitVanished}).Draw(t, "commit"))
	}
	for range 6 {
		p.sends = append(p.sends, rapid.SampledFrom([]int{sendWhole, sendNotSent, sendNotSent, sendShed, sendUnknownNotRun, sendUnknownRan, sendCut, sendLarge}).Draw(t, "send"))
	}
	return p
}

func (w *claimWorld) dispatch(ctx context.Context, i int, call plannedCall) claimResult {
	time.Sleep(call.at)
	vm := w.vms[call.vm]
	if vm.dead() {
		return claimResult{}
	}
	id := fmt.Sprint("request-", i)
	w.locked(func() { w.attempts[id] = call.organisation + "/" + call.key })
	fields := brmessage.NewFields(nil)
	fields.Set("X-Request-Id", id)
	fields.Set("Idempotency-Key", call.key)
	if call.hangsUp {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
	}
	request := brrequest.New(id, "POST", "/"+call.organisation, netip.Addr{})
	writer := &fieldWriter{}
	result := vm.dispatcher.Dispatch(ctx, request, brmessage.NewCall("POST", "/x", fields, strings.NewReader(call.body), -1), writer)
	told := false
	w.locked(func() { told = !vm.crashed })
	return claimResult{told: told, result: result, answer: writer}
}

// play runs the planned calls and returns their results.
func (w *claimWorld) play(ctx context.Context) []claimResult {
	results := make([]claimResult, len(w.plan.calls))
	done := make(chan struct{})
	for i, call := range w.plan.calls {
		go func() {
			results[i] = w.dispatch(ctx, i, call)
			done <- struct{}{}
		}()
	}
	for range w.plan.calls {
		<-done
	}
	time.Sleep(10 * time.Second)
	return results
}

// faults lists each violation of the guarantees for claimed requests.
func (w *claimWorld) faults(results []claimResult) []string {
	faults := []string{}
	for slot, ran := range w.runs {
		if len(ran) > 1 {
			faults = append(faults, fmt.Sprintf("%s ran as %v", slot, ran))
		}
	}
	for i, r := range results {
		if !r.told {
			continue
		}
		id := fmt.Sprint("request-", i)
		ran := w.runs[w.attempts[id]]
		if r.result.Fate() == brrequest.FateNotRun && w.runsOf[id] > 0 {
			faults = append(faults, id+" ran, but was reported as not run: "+string(r.result.Reason()))
		}
		if r.result.Fate() == brrequest.FateRan && len(ran) == 0 {
			faults = append(faults, id+" was reported as run, but no request with its key ran")
		}
		if r.answer.replayed() && (len(ran) != 1 || !r.result.Whole() || r.answer.body.String() != ran[0]) {
			faults = append(faults, fmt.Sprintf("%s: replayed answer %q, but the runs of its key are %v", id, r.answer.body.String(), ran))
		}
		if r.result.Started() && !r.answer.replayed() && w.runsOf[id] != 1 {
			faults = append(faults, id+" got an answer that is not a replay, but did not run exactly once")
		}
	}
	return faults
}

// Whatever the table does with writes, whichever server fails, and at whatever
// step VMs crash: a key of an organisation runs at most once, a request reported
// as not run did not run, and a replayed answer is that of the run.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := drawPlan(r)
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			w := newClaimWorld(t.Context(), p)
			results := w.play(t.Context())
			w.stop()
			faults = w.faults(results)
		})
		require.Empty(r, faults)
	})
}
