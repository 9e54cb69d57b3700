package soak

import (
	"fmt"
	"sync"
	"time"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

// Bounds that users require. The settings that brstandin writes for the VMs have the
// same values.
const (
	contactTime     = 3 * time.Second
	applyTime       = 2 * time.Second
	drainTime       = 2 * time.Second
	evacuationTime  = 5 * time.Second
	graceTime       = 6 * time.Second
	lossSlack       = 200 * time.Millisecond
	recoveryTime    = 15 * time.Second
	timeoutSlack    = 500 * time.Millisecond
	disconnectSlack = 500 * time.Millisecond
	deadlineSlack   = 500 * time.Millisecond
	quotaWindow     = 5 * time.Second
	quotaOverage    = 0.1
	quotaTolerance  = 20
	budgetWindow    = 10 * time.Second
	budgetRatio     = 0.2
	budgetExtra     = 60
	toleratedEvents = 3 // of each kind that is checked with tolerate
)

// request is a request with what its caller and the servers observed of it.
type request struct {
	call         brstandin.Call
	route        brstandin.Route
	organisation string
	vm           string
	vmRegion     string
	sent         time.Time
	disconnected time.Time // when its caller closed the connection
	ended        time.Time // when its caller got the outcome
	arrivals     []brstandin.ReceivedRequest
	response     brstandin.Response
	failure      error
}

func (r *request) refused() bool {
	return !r.ended.IsZero() && r.failure == nil && r.response.Refused()
}

// checker records what callers and backend servers observe and checks it against the
// guarantees of the system.
type checker struct {
	disturbances *disturbances
	history      *configHistory
	mutex        sync.Mutex
	requests     map[string]*request
	order        []*request
	violations   []string
	tolerated    map[string]int         // tolerated events by kind
	crashes      map[string][]time.Time // of servers, by the call that crashed them
	notices      notices
	uploads      uploadCounts
	left         leftCounts
}

func newChecker(d *disturbances, h *configHistory) *checker {
	return &checker{disturbances: d, history: h, requests: map[string]*request{}, tolerated: map[string]int{}, crashes: map[string][]time.Time{}, notices: newNotices()}
}

// reportViolation records a violation of a guarantee.
func (c *checker) reportViolation(text string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addViolation("%s", text)
}

// addViolation records a violation of a guarantee. Its text begins with a code for the
// guarantee, such as TWICE. The caller holds the mutex.
func (c *checker) addViolation(format string, values ...any) {
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

// tolerate counts an event that is allowed up to toleratedEvents times a run.
func (c *checker) tolerate(kind, format string, values ...any) {
	c.tolerated[kind]++
	if c.tolerated[kind] == toleratedEvents+1 {
		c.addViolation("%s: more than %d times, most recently: %s", kind, toleratedEvents, fmt.Sprintf(format, values...))
	}
}

// recordSend records a request before it is sent.
func (c *checker) recordSend(r *request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r.sent = time.Now()
	c.requests[r.call.ID()] = r
	c.order = append(c.order, r)
}

// recordDisconnect records that a caller has closed its connection.
func (c *checker) recordDisconnect(r *request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r.disconnected = time.Now()
}

// checkArrival records and checks a request that a server starts to run.
func (c *checker) checkArrival(a brstandin.ReceivedRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, known := c.requests[a.ID()]
	if !known {
		c.addViolation("UNASKED: %s runs %q, which no caller sent", a.Server().ID(), a.ID())
		return
	}
	r.arrivals = append(r.arrivals, a)
	c.checkRepeats(r, a)
	c.checkContent(r, a)
	c.checkPlacement(r, a)
	c.checkDraining(r, a)
	c.checkDeadlines(r, a)
	c.checkPoison(r, a)
	c.checkNotices(r, a)
}

// checkPoison checks that a request no longer reaches servers once every VM can know
// that it crashed three of them, which takes contactTime.
func (c *checker) checkPoison(r *request, a brstandin.ReceivedRequest) {
	if !isPoison(a.Text()) {
		return
	}
	crashes := append(c.crashes[a.Text()], a.ReceivedAt())
	c.crashes[a.Text()] = crashes
	if len(crashes) > 3 && r.sent.Sub(crashes[2]) > contactTime && c.disturbances.vmAndStoreUndisturbed(r.vm, r.sent, a.ReceivedAt()) {
		c.tolerate("BUDGET of "+a.Text(), "it crashes %s, %v after the third server", a.Server().ID(), a.ReceivedAt().Sub(crashes[2]))
	}
}

func (c *checker) checkRepeats(r *request, a brstandin.ReceivedRequest) {
	if !r.route.Idempotent() && len(r.arrivals) > 1 {
		c.addViolation("TWICE: %s runs at %s after it ran at %s", a.ID(), a.Server().ID(), r.arrivals[0].Server().ID())
	}
	if len(r.arrivals) > brstandin.RouteAttempts {
		c.addViolation("BUDGET: %s runs %d times", a.ID(), len(r.arrivals))
	}
	if r.refused() {
		c.addViolation("REFUSED: %s runs at %s after it was refused with %d", a.ID(), a.Server().ID(), r.response.Status())
	}
}

func (c *checker) checkContent(r *request, a brstandin.ReceivedRequest) {
	if a.Text() != r.call.Text() {
		c.addViolation("UNASKED: %s arrives as %q, sent as %q", a.ID(), a.Text(), r.call.Text())
	}
	if a.Organisation() != r.organisation {
		c.addViolation("UNASKED: %s runs for %q, sent by %q", a.ID(), a.Organisation(), r.organisation)
	}
	if a.Key() != "" {
		c.addViolation("UNASKED: %s reaches a server with its key", a.ID())
	}
}

// checkPlacement checks the service and the region in which a request runs, and that the
// configuration allowed it when it was sent.
func (c *checker) checkPlacement(r *request, a brstandin.ReceivedRequest) {
	if !c.history.everAllowed(r.route.Name(), a.Server().Service()) {
		c.addViolation("ROUTE: %s of route %s runs at service %s", a.ID(), r.route.Name(), a.Server().Service())
	}
	allowed := r.route.AllowedRegions()
	region := regions[a.Server().Domain()]
	if len(allowed) > 0 && !contains(allowed, region) {
		c.addViolation("HOME: %s of route %s runs in %s", a.ID(), r.route.Name(), region)
	}
	if !c.disturbances.vmAndStoreUndisturbed(r.vm, r.sent, a.ReceivedAt()) {
		return
	}
	if !c.history.allowedAt(r.route.Name(), a.Server().Service(), r.sent) {
		c.addViolation("CONFIG: %s of route %s runs at service %s under an old configuration", a.ID(), r.route.Name(), a.Server().Service())
	}
	if !r.route.Public() && !c.history.keyAllowedAt(r.organisation, r.sent) {
		c.addViolation("CONFIG: %s runs for %s, whose key was revoked", a.ID(), r.organisation)
	}
}

// checkDraining checks that no request reaches a server that is draining or whose failure
// domain was evacuated, once VMs had time to learn of it.
func (c *checker) checkDraining(r *request, a brstandin.ReceivedRequest) {
	if !c.disturbances.vmAndStoreUndisturbed(r.vm, r.sent, a.ReceivedAt()) {
		return
	}
	drainStart := a.Server().DrainStart()
	if !drainStart.IsZero() && a.ReceivedAt().Sub(drainStart) > drainTime && r.sent.Sub(drainStart) > 0 {
		c.addViolation("DRAIN: %s reaches %s %v after it began to drain", a.ID(), a.Server().ID(), a.ReceivedAt().Sub(drainStart))
	}
	since := c.history.evacuatedSince(a.Server().Domain())
	if !since.IsZero() && a.ReceivedAt().Sub(since) > evacuationTime {
		c.addViolation("EVAC: %s reaches %s %v after its domain was evacuated", a.ID(), a.Server().ID(), a.ReceivedAt().Sub(since))
	}
}

func (c *checker) checkDeadlines(r *request, a brstandin.ReceivedRequest) {
	// A request that a faulty link delayed arrives late whatever the VM does.
	if !c.disturbances.vmUndisturbed(r.vm, r.sent, a.ReceivedAt()) || !c.disturbances.serverUndisturbed(a.Server().ID(), r.sent.Add(-contactTime), a.ReceivedAt()) {
		return
	}
	if !r.disconnected.IsZero() && a.ReceivedAt().Sub(r.disconnected) > disconnectSlack {
		c.tolerate("GONE", "%s reaches %s %v after its caller disconnected", a.ID(), a.Server().ID(), a.ReceivedAt().Sub(r.disconnected))
	}
	if until := r.sent.Add(r.call.Wait()); a.ReceivedAt().Add(a.Remaining()).Sub(until) > deadlineSlack {
		c.tolerate("BUDGET of time", "%s has %v left at %s, beyond its deadline", a.ID(), a.Remaining(), a.Server().ID())
	}
}

// recordOutcome records and checks the outcome of a request at its caller.
func (c *checker) recordOutcome(r *request, response brstandin.Response, failure error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r.response, r.failure, r.ended = response, failure, time.Now()
	c.recordLeaving(r)
	switch {
	case !r.disconnected.IsZero():
	case failure != nil:
		c.checkConnectionLoss(r)
	case response.Succeeded():
		c.checkSuccess(r)
	default:
		c.checkFailure(r)
	}
	c.checkTimeout(r)
}

func (c *checker) checkSuccess(r *request) {
	response := r.response
	if response.ID() != r.call.ID() || response.ServerID() == "" || response.Text() != r.call.Text() {
		c.addViolation("MIXED: %s gets the response of %q, stamp %q, body %q", r.call.ID(), response.ID(), response.ServerID(), response.Text())
	}
	if len(r.arrivals) == 0 {
		c.addViolation("MIXED: %s gets a success but has not run", r.call.ID())
	}
}

func (c *checker) checkFailure(r *request) {
	if r.response.Refused() && len(r.arrivals) > 0 {
		c.addViolation("REFUSED: %s is refused with %d although it ran at %s", r.call.ID(), r.response.Status(), r.arrivals[0].Server().ID())
	}
	switch r.response.Status() {
	case 401:
		if c.history.keyAlwaysAllowed(r.organisation) || r.route.Public() {
			c.addViolation("DENIED: %s of %s gets 401 from %s", r.call.ID(), r.organisation, r.vm)
		}
	case 400, 403, 404, 413, 431:
		c.addViolation("DENIED: %s of route %s gets %d from %s", r.call.ID(), r.route.Name(), r.response.Status(), r.vm)
	}
}

// checkConnectionLoss checks a connection that ended without a response. This is allowed if
// the VM or a server was disturbed, if the request had not run and its connection ended
// within lossSlack, or if its caller had given up by then.
func (c *checker) checkConnectionLoss(r *request) {
	if !c.disturbances.undisturbed(r.vm, r.sent, r.ended) {
		return
	}
	for _, a := range r.arrivals {
		if !c.disturbances.serverUndisturbed(a.Server().ID(), r.sent, r.ended) {
			return
		}
	}
	reachedServer := len(r.arrivals) > 0
	if !reachedServer && r.ended.Sub(r.sent) <= lossSlack {
		return
	}
	if r.ended.Sub(r.sent) >= r.call.Wait() {
		return // the caller has given up
	}
	if c.disturbances.hadPlannedWork(r.vm, r.sent, r.ended) {
		c.addViolation("LOST: %s is cut off by %s during planned work after %v: %v", r.call.ID(), r.vm, r.ended.Sub(r.sent), r.failure)
		return
	}
	c.tolerate("LOST", "%s is cut off by %s: %v", r.call.ID(), r.vm, r.failure)
}

func (c *checker) checkTimeout(r *request) {
	late := r.ended.Sub(r.sent) - r.route.Timeout()
	if late > timeoutSlack && r.disconnected.IsZero() && c.disturbances.vmUndisturbed(r.vm, r.sent, r.ended) {
		c.tolerate("CONFIG", "%s of route %s ends %v after its timeout", r.call.ID(), r.route.Name(), late)
	}
}
