package soak

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

const (
	firstLeaver   = 5000 // lowest number of a leaver
	leaverCalls   = 3    // that a leaver sends ahead
	leaverPause   = 100 * time.Millisecond
	leaverRunTime = 1800 * time.Millisecond // of the first call
)

// leaver is a caller that sends several requests on one connection, one behind the other, and
// leaves while the first one runs.
type leaver struct {
	client *client
}

func newLeaver(d *deployment, seed uint64, number int) *leaver {
	return &leaver{client: newClient(d, seed, firstLeaver+number, &atomic.Int64{})}
}

// run sends requests until ctx is cancelled.
func (l *leaver) run(ctx context.Context) {
	defer l.client.caller.Close()
	for ctx.Err() == nil {
		l.client.lookUp(ctx)
		if v := l.client.pickVM(); v != nil {
			l.sendAndLeave(ctx, v)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(l.client.random.Int64N(int64(time.Second)))):
		}
	}
}

func (l *leaver) sendAndLeave(ctx context.Context, v *entryVM) {
	c := l.client
	route := initialRoutes()[0]
	requests, calls := []*request{}, []brstandin.Call{}
	for i := range leaverCalls {
		c.sent++
		path := fmt.Sprintf("%s%d?work=%d", route.Prefix(), c.random.IntN(50), leaverRunTime.Milliseconds())
		call := brstandin.NewCall(fmt.Sprintf("l%d-%d", c.number, c.sent), "POST", path, fmt.Sprint("part ", i), "key-depot", 2*route.Timeout())
		r := &request{call: call, route: route, organisation: "depot", vm: v.spec.Name(), vmRegion: v.spec.Region()}
		requests, calls = append(requests, r), append(calls, call)
		c.deployment.checker.recordSend(r)
	}
	stay := leaverCalls*leaverPause + time.Duration(c.random.Int64N(int64(600*time.Millisecond)))
	ctx, cancel := context.WithTimeout(ctx, stay)
	defer cancel()
	if err := brstandin.SendAhead(ctx, v.callerProxy.address(), calls, leaverPause); err != nil {
		c.excludeVM(v)
	}
	for _, r := range requests {
		c.deployment.checker.recordDisconnect(r)
	}
}

// leftCounts counts the requests that would have lasted beyond disconnectSlack after their
// clients left, and those at which a server was still at work then.
type leftCounts struct {
	lasting int
	working int
}

// recordEnd records the end of a request that ran at a server.
func (c *checker) recordEnd(a brstandin.ReceivedRequest, serviceTime time.Duration) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, known := c.requests[a.ID()]
	if !known || r.disconnected.IsZero() || !r.route.Idempotent() {
		return
	}
	bound := r.disconnected.Add(disconnectSlack)
	isSound := c.disturbances.vmUndisturbed(r.vm, r.sent, now) && c.disturbances.serverUndisturbed(a.Server().ID(), r.sent.Add(-contactTime), now)
	if !isSound || a.ReceivedAt().After(bound) || a.ReceivedAt().Add(serviceTime).Before(bound) {
		return
	}
	c.left.lasting++
	if now.After(bound) {
		c.left.working++
	}
}

// checkLeft checks that servers seldom work on for clients that have left.
func (c *checker) checkLeft() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if 4*c.left.working > c.left.lasting {
		c.addViolation("GONE: servers are at work on %d of %d requests %v after their clients left", c.left.working, c.left.lasting, disconnectSlack)
	}
}
