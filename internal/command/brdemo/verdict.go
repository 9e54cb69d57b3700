package brdemo

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	revocationLimit = 7 * time.Second // within which a revoked key is refused everywhere
	leavingLimit    = 3 * time.Second // within which a leaving server gets no more requests
)

// observation is everything that was recorded in a run.
type observation struct {
	times   times
	records []record
	lookups int64
	servers []*server
	stopped chan error
}

// checkPromises returns a verdict on each promise.
func checkPromises(o observation) Report {
	runs := o.runs()
	return Report{verdicts: []Verdict{
		o.checkLookups(),
		o.checkRate(runs),
		o.checkSlots(),
		o.checkKeys(),
		o.checkRevocation(),
		o.checkLeaving(),
		o.checkStop(),
		o.checkOutage(),
		o.checkResponses(),
		o.checkRefusals(runs),
		o.checkOnce(runs),
	}}
}

// runs returns how often each request URI ran, summed over all servers.
func (o observation) runs() map[string]int {
	sum := map[string]int{}
	for _, s := range o.servers {
		for uri, count := range s.backend.RunsByURI() {
			sum[uri] += count
		}
	}
	return sum
}

// verdict returns a verdict on a promise: broken, or else kept if requests to which it
// applies were seen, or else not observed.
func verdict(promise string, seen, broken bool, format string, values ...any) Verdict {
	status := StatusKept
	switch {
	case broken:
		status = StatusBroken
	case !seen:
		status = StatusNotObserved
	}
	return Verdict{promise: promise, observed: fmt.Sprintf(format, values...), status: status}
}

// withTime marks a verdict as dependent on the speed of the machine.
func (v Verdict) withTime() Verdict {
	v.timed = true
	return v
}

func (o observation) checkLookups() Verdict {
	return verdict("look-ups return VMs", o.lookups > 0, false, "%d look-ups answered", o.lookups)
}

func (o observation) checkRate(runs map[string]int) Verdict {
	ran, refused := 0, 0
	for _, r := range o.records {
		if r.organisation != orgOverRate {
			continue
		}
		if runs[r.uri] > 0 {
			ran++
		}
		if r.status == http.StatusTooManyRequests {
			refused++
		}
	}
	elapsed := o.times.end.Sub(o.times.start)
	allowed := contractRate*elapsed.Seconds() + contractBurst
	return verdict("an organisation gets at most its rate and burst", refused > 0, float64(ran) > allowed,
		"%d ran, %.0f allowed in %.1f s, %d refused", ran, allowed, elapsed.Seconds(), refused)
}

func (o observation) checkSlots() Verdict {
	most, shed, ran := 0, 0, 0
	for _, s := range o.servers {
		most = max(most, s.backend.MaxRunning())
		shed += s.backend.Shed()
		ran += s.backend.Runs()
	}
	v := verdict("no server runs more than its slots", ran > 0, most > serverSlots,
		"at most %d of %d at once, %d of %d shed", most, serverSlots, shed, ran+shed)
	if v.status == StatusKept && shed > 0 {
		v.status = StatusKeptByServers
	}
	return v
}

func (o observation) checkKeys() Verdict {
	keys, ran := 0, 0
	for _, s := range o.servers {
		keys += s.backend.RequestsWithKey()
		ran += s.backend.Runs()
	}
	return verdict("no server receives a key", ran > 0, keys > 0, "%d requests ran, %d with a key", ran, keys)
}

func (o observation) checkRevocation() Verdict {
	const promise = "a withdrawn key is refused within 5 s + 2 s"
	revoked := o.times.keyRevoked
	last, refused := revoked, 0
	for _, r := range o.records {
		if r.organisation != orgRevoked || revoked.IsZero() || !r.sent.After(revoked) {
			continue
		}
		if r.fate == fateRan && r.sent.After(last) {
			last = r.sent
		}
		if r.reason == reasonUnknownKey {
			refused++
		}
	}
	took := last.Sub(revoked)
	return verdict(promise, refused > 0, took > revocationLimit, "last accepted after %.2f s, %d refused", took.Seconds(), refused).withTime()
}

func (o observation) checkLeaving() Verdict {
	const promise = "a leaving server gets no new request after 3 s"
	if o.times.serverLeaving.IsZero() {
		return verdict(promise, false, false, "no server was leaving").withTime()
	}
	deadline := o.times.serverLeaving.Add(leavingLimit)
	last := o.servers[leavingServer].backend.LastStart()
	seen := o.times.end.After(deadline) && !last.IsZero()
	return verdict(promise, seen, last.After(deadline), "last request %.2f s after the change", max(last.Sub(o.times.serverLeaving), 0).Seconds()).withTime()
}

func (o observation) checkStop() Verdict {
	interrupted := 0
	for _, r := range o.records {
		if r.interrupted {
			interrupted++
		}
	}
	select {
	case err := <-o.stopped:
		return verdict("a planned stop interrupts no request", true, interrupted > 0 || err != nil, "%d requests interrupted, VM stopped (error: %v)", interrupted, err)
	default:
		return verdict("a planned stop interrupts no request", false, interrupted > 0, "%d requests interrupted, VM had not stopped", interrupted)
	}
}

func (o observation) checkOutage() Verdict {
	sent, ran := 0, 0
	for _, r := range o.records {
		if r.organisation != orgSteady || r.sent.Before(o.times.outageStart) || r.sent.After(o.times.outageEnd) {
			continue
		}
		sent++
		if r.fate == fateRan {
			ran++
		}
	}
	return verdict("requests with a key run while the platform is down", sent > 0, sent > 0 && ran == 0, "%d of %d ran", ran, sent).withTime()
}

func (o observation) checkResponses() Verdict {
	responses, wrong := 0, 0
	for _, r := range o.records {
		if r.fate != fateRan || r.status != http.StatusOK {
			continue
		}
		responses++
		if !r.matches {
			wrong++
		}
	}
	return verdict("each response belongs to its request", responses > 0, wrong > 0, "%d responses, %d wrong", responses, wrong)
}

func (o observation) checkRefusals(runs map[string]int) Verdict {
	refused, ran := 0, 0
	for _, r := range o.records {
		if r.fate != fateNotRun {
			continue
		}
		refused++
		if runs[r.uri] > 0 {
			ran++
		}
	}
	return verdict("a request reported as not run did not run", refused > 0, ran > 0, "%d refused, %d of them ran", refused, ran)
}

func (o observation) checkOnce(runs map[string]int) Verdict {
	ran, twice := 0, 0
	for uri, count := range runs {
		if !strings.HasPrefix(uri, pathLedger) {
			continue
		}
		ran++
		if count > 1 {
			twice++
		}
	}
	return verdict("a request that must not be repeated runs at most once", ran > 0, twice > 0, "%d ran, %d of them more than once", ran, twice)
}
