// Package brusage decides on usage metering: how requests are counted by window and merged from
// all VMs, which VM holds the lease under which windows are reported, and what it writes to the
// store and sends to the platform next.
//
// The lease is one row of the store, changed only by compare-and-swap. It holds the fencing
// token, the first window whose counts are not fixed, and the reports that are fixed but not
// known to be accepted. A report is sent only from a row that is known to be written, so that
// whoever holds the lease sends the same counts for a window.
//
// # Usage
//
//	holder := brusage.NewHolder[brusage.Fenced](terms, "vm-1", run, now)
//	call, ok := holder.NextStoreCall(now, view)
//	// carry it out
//	holder.ObserveWrite(started, now, version, brusage.Applied)
//	send, ok := holder.NextSend(now)
package brusage

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

const (
	// guardDivisor divides the lease to get the time before its end at which a holder stops
	// acting, for a call that is still on its way to the platform.
	guardDivisor = 10
	// renewalFraction of the lease is the time after which the holder renews it. Two renewals
	// may fail before the lease ends, and the store gets less than one write a second.
	renewalFraction = 0.4
	// readFraction of the lease is the interval at which a candidate reads the row. A dead holder
	// is replaced within 1.6 leases of its last renewal, and each read has its price.
	readFraction = 0.6
	// minSendFraction of the lease must remain for a call to the platform to be started. It
	// covers the time for which the system repeats a packet that is lost.
	minSendFraction = 0.3
	// minFixFraction and maxFixFraction of the time at which reports are late are the times
	// after the end of a window at which its counts are fixed at the earliest and, if VMs have
	// not completed theirs, at the latest. After the latter, a successor still has time for
	// a takeover.
	minFixFraction = 0.2
	maxFixFraction = 0.55
	// isolatedAfterFraction of the time at which reports are late is the time after the end of a
	// window at which a VM that lacks the counts of most others takes itself for isolated. The
	// lease is given up then, so that one that has them reports the window, and an isolated VM
	// waits for isolatedFraction of the lease longer before it acquires the lease.
	isolatedAfterFraction = 0.35
	isolatedFraction      = 0.5
	// settleTime is the time that a VM must have been one that others report to before it
	// fixes counts: the others first have to send it all that they have.
	settleTime = 1500 * time.Millisecond
	// handoverDelay is how long a holder that others don't report to any more keeps the
	// lease, so that it isn't handed over if the VM that they report to changes for a moment.
	handoverDelay = time.Second
	// maxPending bounds the reports in the row, and so its size, while the platform accepts
	// none. The oldest are dropped.
	maxPending = 36
	// storeRetry is the time between a failed call to the store and the next one.
	storeRetry = 300 * time.Millisecond
	// sendRetry and maxSendRetry bound the time between a failed call to the platform and the
	// next one. It doubles with each failure.
	sendRetry    = 250 * time.Millisecond
	maxSendRetry = 2 * time.Second
)

// Policy decides how the holder of the lease is protected from a former one that still
// believes to hold it.
type Policy interface {
	// MayAct reports whether a holder acts at a time if its lease ends at another.
	MayAct(now, end time.Duration) bool
	// NextToken returns the token of a new holder after the one of the last.
	NextToken(last uint64) uint64
}

// Fenced stops a holder at the end of its lease and numbers the holders.
type Fenced struct{}

// MayAct implements Policy.
func (Fenced) MayAct(now, end time.Duration) bool { return now < end }

// NextToken implements Policy.
func (Fenced) NextToken(last uint64) uint64 { return last + 1 }

// View is what a VM knows besides the lease.
type View struct {
	counts    Counter
	leads     bool
	leadsFrom time.Duration
	stopping  bool
}

// Counter provides the counts of windows.
type Counter interface {
	// Total returns the sum of all counts of a window, and false if nothing is known of it.
	Total(window int64) (map[string]uint64, bool)
	// Missing returns how many runs of VMs have not completed a window, of those that are
	// expected to.
	Missing(window int64) (missing, expected int)
	// First returns the earliest window of which anything is known.
	First() (int64, bool)
}

// NewView returns a view of a VM; leads tells whether other VMs report to it, and leadsFrom
// since when that has been so, or not so.
func NewView(counts Counter, leads bool, leadsFrom time.Duration) View {
	return View{counts: counts, leads: leads, leadsFrom: leadsFrom}
}

// WithStopping returns the view of a VM that shuts down.
func (v View) WithStopping() View {
	v.stopping = true
	return v
}

// Outcome is what is known of a call after it has ended.
type Outcome int

const (
	// Applied means that the call was carried out.
	Applied Outcome = iota
	// Conflict means that the row has changed since it was read, and nothing was written.
	Conflict
	// NotApplied means that the call was not carried out.
	NotApplied
	// Unknown means that the call may have been carried out, or still may be.
	Unknown
)

// StoreCall is a call to the store: a write of the row if it still has a version, or a read.
type StoreCall struct {
	write    bool
	lease    brmeter.Lease
	expected uint64
	skipped  int // windows that are not reported according to this write
}

// IsWrite reports whether the call is a write.
func (c StoreCall) IsWrite() bool { return c.write }

// Lease returns the content to be written.
func (c StoreCall) Lease() brmeter.Lease { return c.lease }

// Expected returns the version that the row must have, 0 if it must not exist.
func (c StoreCall) Expected() uint64 { return c.expected }

// Send is a call to the platform.
type Send struct {
	report brmeter.Report
	token  uint64
}

// Report returns the report to send.
func (s Send) Report() brmeter.Report { return s.report }

// Token returns the fencing token to send.
func (s Send) Token() uint64 { return s.token }

// Holder decides what one run of a VM's process does about the lease. At most one call to the
// store and one to the platform are under way. It is not safe for concurrent use.
type Holder[P Policy] struct {
	policy P
	terms  brmeter.Terms
	name   string
	run    string

	row            brmeter.Row
	known          bool          // false after a write that may have changed the row
	unchangedSince time.Duration // when the row was first seen in its version
	readAt         time.Duration
	holds          bool          // the row names this run
	end            time.Duration // of the lease
	granted        time.Duration // start of the latest write that extended the lease
	barredUntil    time.Duration
	alone          bool  // this run has been isolated since it acquired the lease
	seenBefore     int64 // the window in which the run that held the lease before wrote last
	releasing      bool  // a write that gives the lease up may have been, or may be, carried out

	storeCall *StoreCall
	storeFrom time.Duration // no call to the store before

	sending  *Send
	sendFrom time.Duration
	backoff  time.Duration
	accepted map[int64]bool
	// unansweredAt is when the latest call without a response ended. It may arrive a moment later,
	// so the lease isn't given up within this time.
	unansweredAt time.Duration

	stats Stats
}

// NewHolder returns the state of a run of a VM's process that has just started.
func NewHolder[P Policy](terms brmeter.Terms, name, run string, now Instant) *Holder[P] {
	return &Holder[P]{terms: terms, name: name, run: run, accepted: map[int64]bool{}, barredUntil: now.steady + terms.Lease()}
}

// fraction returns a fraction of a time.
func fraction(of time.Duration, by float64) time.Duration { return time.Duration(float64(of) * by) }

// NextStoreCall returns the call to the store to make now, if any. Its outcome has to be
// reported by ObserveRead or ObserveWrite.
func (h *Holder[P]) NextStoreCall(now Instant, view View) (StoreCall, bool) {
	if h.storeCall != nil || now.steady < h.storeFrom {
		return StoreCall{}, false
	}
	call, ok := h.chooseStoreCall(now, view)
	if ok {
		h.storeCall = &call
		h.releasing = h.releasing || call.lease.Released()
	}
	return call, ok
}

func (h *Holder[P]) chooseStoreCall(now Instant, view View) (StoreCall, bool) {
	switch {
	case !h.holds && !h.isCandidate(view):
		return StoreCall{}, false
	case !h.known:
		return StoreCall{}, true
	case h.holds:
		return h.chooseRenewal(now, view)
	case h.mayAcquire(now, view):
		return h.chooseAcquisition(now, view)
	case now.steady >= h.readAt+fraction(h.terms.Lease(), readFraction):
		return StoreCall{}, true
	}
	return StoreCall{}, false
}

func (h *Holder[P]) isCandidate(view View) bool { return view.leads && !view.stopping }

// mayAcquire reports whether the lease is free, so that no other run can act under it: it was
// given up, or its row has not changed for the length of a lease. The write itself shows that
// the row hasn't changed since it was read.
//
// A run that is isolated from most VMs leaves it to others for a while.
func (h *Holder[P]) mayAcquire(now Instant, view View) bool {
	if now.steady < h.barredUntil {
		return false
	}
	free := h.unchangedSince + h.terms.Lease()
	if h.row.Version() > 0 && !h.row.Lease().Released() && now.steady < free {
		return false
	}
	return now.steady >= free+fraction(h.terms.Lease(), isolatedFraction) || !h.isIsolated(now, view)
}

// isIsolated reports whether this run lacks the counts of most VMs for the latest window that
// all should have completed.
func (h *Holder[P]) isIsolated(now Instant, view View) bool {
	window := h.terms.Number(now.wall.Add(-fraction(h.terms.Late(), isolatedAfterFraction))) - 1
	missing, expected := view.counts.Missing(window)
	return 2*missing > expected
}

// chooseAcquisition returns the write by which this run acquires the lease. Windows that are
// older than those for which counts are kept, and of which no live VM knows, are left out.
func (h *Holder[P]) chooseAcquisition(now Instant, view View) (StoreCall, bool) {
	first, ok := view.counts.First()
	old := h.row.Lease()
	next := max(first, old.Next())
	if old.Next() > 0 {
		oldest := h.terms.Number(now.wall) - retainedWindows
		next = max(min(next, oldest), old.Next())
	}
	lease := old.WithHolder(h.name, h.run, h.policy.NextToken(old.Token())).WithNext(next).WithSeen(h.terms.Number(now.wall))
	call := StoreCall{write: true, lease: lease, expected: h.row.Version()}
	h.seenBefore, h.alone = old.Seen(), h.isIsolated(now, view)
	if old.Next() > 0 {
		call.skipped = int(next - old.Next())
	}
	return call, ok
}

// chooseRenewal returns the write by which the holder fixes windows, removes accepted ones,
// extends its lease or gives it up.
func (h *Holder[P]) chooseRenewal(now Instant, view View) (StoreCall, bool) {
	call := StoreCall{write: true, lease: h.row.Lease().WithSeen(h.terms.Number(now.wall)), expected: h.row.Version()}
	fixed := h.fixWindows(&call, now, view)
	isolated := h.isIsolated(now, view)
	leaves := view.stopping || !view.leads && now.steady >= view.leadsFrom+handoverDelay || isolated && !h.alone
	h.alone = h.alone && isolated
	if leaves && h.sending == nil && now.steady >= h.unansweredAt+h.terms.Lease()/guardDivisor {
		call.lease = call.lease.WithReleased()
	}
	if !fixed && !call.lease.Released() && now.steady < h.granted+fraction(h.terms.Lease(), renewalFraction) {
		return StoreCall{}, false
	}
	pending := slices.DeleteFunc(slices.Clone(call.lease.Pending()), func(r brmeter.Report) bool { return h.accepted[r.Window()] })
	if excess := len(pending) - maxPending; excess > 0 {
		pending = pending[excess:]
		call.skipped += excess
	}
	call.lease = call.lease.WithPending(pending)
	return call, true
}

// fixWindows adds the counts of all windows that are due to be fixed to a write, and reports
// whether there are any.
func (h *Holder[P]) fixWindows(call *StoreCall, now Instant, view View) bool {
	settled := view.leads && now.steady >= view.leadsFrom+settleTime
	fixed := false
	for h.isDue(now, call.lease.Next(), settled, view) {
		window := call.lease.Next()
		// No live VM may know anything of a window because none ran in it, or because all that
		// did are gone. The latter would make an empty report wrong.
		if counts, ok := view.counts.Total(window); ok || window > h.seenBefore {
			call.lease = call.lease.WithPending(append(slices.Clone(call.lease.Pending()), brmeter.NewReport(window, counts)))
		} else {
			call.skipped++
		}
		call.lease, fixed = call.lease.WithNext(window+1), true
	}
	return fixed
}

func (h *Holder[P]) isDue(now Instant, window int64, settled bool, view View) bool {
	sinceEnd := now.wall.Sub(h.terms.End(window))
	if sinceEnd >= fraction(h.terms.Late(), maxFixFraction) {
		return view.leads
	}
	missing, expected := view.counts.Missing(window)
	return settled && sinceEnd >= fraction(h.terms.Late(), minFixFraction) && missing == 0 && expected > 0
}

// ObserveRead records the result of a read of the row.
func (h *Holder[P]) ObserveRead(now Instant, row brmeter.Row, outcome Outcome) {
	h.storeCall = nil
	if outcome != Applied {
		h.storeFrom = now.steady + storeRetry
		return
	}
	h.readAt = now.steady
	if !h.known || row.Version() != h.row.Version() {
		h.unchangedSince = now.steady
	}
	h.row, h.known = row, true
	h.setHolds(now, row.Version() > 0 && row.Lease().Run() == h.run && !row.Lease().Released())
}

// ObserveWrite records the outcome of a write that was started at the given time; version is
// that of the row afterwards, or 0 if the store didn't tell. A write with an unknown outcome
// never extends the lease, even if a read shows its content later: the row may have been
// written by an earlier such write, which others have seen for longer.
func (h *Holder[P]) ObserveWrite(started time.Duration, now Instant, version uint64, outcome Outcome) {
	call := *h.storeCall
	h.storeCall = nil
	switch outcome {
	case Applied:
		h.row, h.unchangedSince, h.readAt = brmeter.NewRow(call.lease, version), now.steady, now.steady
		h.known, h.releasing = version > 0, false
		h.stats.skipped += call.skipped
		h.setHolds(now, !call.lease.Released())
		if h.holds {
			h.extend(started)
		}
		h.forgetAccepted()
	case Conflict:
		h.known, h.releasing, h.end = false, false, 0
	case NotApplied:
		h.storeFrom = now.steady + storeRetry
	case Unknown:
		h.known, h.storeFrom = false, now.steady+storeRetry
	}
}

// extend extends the lease by a write that was started at the given time.
func (h *Holder[P]) extend(started time.Duration) {
	h.granted = started
	h.end = started + h.terms.Lease() - h.terms.Lease()/guardDivisor
}

// setHolds records whether this run holds the lease. If it has lost it, it may not acquire it
// for the length of a lease, so that holders never act in the order A, B, A within that time.
func (h *Holder[P]) setHolds(now Instant, holds bool) {
	if h.holds && !holds {
		h.barredUntil = now.steady + h.terms.Lease()
		h.end = 0
		clear(h.accepted)
	}
	h.holds = holds
}

// forgetAccepted removes accepted windows that are not in the row any more.
func (h *Holder[P]) forgetAccepted() {
	kept := map[int64]bool{}
	for _, r := range h.row.Lease().Pending() {
		if h.accepted[r.Window()] {
			kept[r.Window()] = true
		}
	}
	h.accepted = kept
}

// MayAct reports whether this run may act under the lease.
func (h *Holder[P]) MayAct(now time.Duration) bool { return h.holds && h.policy.MayAct(now, h.end) }

// End returns the time at which the lease ends, if this run holds it.
func (h *Holder[P]) End() time.Duration { return h.end }

// NextSend returns the call to the platform to make now, if any. Its outcome has to be
// reported by ObserveSend.
func (h *Holder[P]) NextSend(now Instant) (Send, bool) {
	if h.sending != nil || h.releasing || now.steady < h.sendFrom || !h.MayAct(now.steady+fraction(h.terms.Lease(), minSendFraction)) {
		return Send{}, false
	}
	report, ok := h.mostUrgent(now)
	if !ok {
		return Send{}, false
	}
	h.sending = &Send{report: report, token: h.row.Lease().Token()}
	return *h.sending, true
}

// mostUrgent returns the pending report that is due next. Those that are late already come
// after those that are not.
func (h *Holder[P]) mostUrgent(now Instant) (brmeter.Report, bool) {
	late, found := brmeter.Report{}, false
	for _, r := range h.row.Lease().Pending() {
		switch {
		case h.accepted[r.Window()]:
		case now.wall.Before(h.terms.End(r.Window()).Add(h.terms.Late())):
			return r, true
		case !found:
			late, found = r, true
		}
	}
	return late, found
}

// ObserveSend records the outcome of the call to the platform.
func (h *Holder[P]) ObserveSend(now Instant, outcome Outcome) {
	send := *h.sending
	h.sending = nil
	if outcome == Applied {
		h.backoff, h.sendFrom = 0, now.steady
		if h.holds && !h.accepted[send.report.Window()] {
			h.accepted[send.report.Window()] = true
			h.stats.countReport(now, h.terms, send.report.Window())
		}
		return
	}
	if outcome == Unknown {
		h.unansweredAt = now.steady
	}
	h.backoff = min(max(2*h.backoff, sendRetry), maxSendRetry)
	h.sendFrom = now.steady + h.backoff
}

// Lease returns the lease as this run last saw it.
func (h *Holder[P]) Lease() brmeter.Lease { return h.row.Lease() }

// Holds reports whether the row names this run as the holder, as far as it knows.
func (h *Holder[P]) Holds() bool { return h.holds }

// Stats returns what this run has reported.
func (h *Holder[P]) Stats() Stats { return h.stats }
