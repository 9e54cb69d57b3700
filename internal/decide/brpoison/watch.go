// Package brpoison detects poison requests, which crash the servers that run
// them, and decides which requests are refused for it.
//
// A request is identified by its fingerprint. When a server dies, the requests
// that were running on it become suspects. A suspect that completes is cleared.
// A suspect is refused for some time once enough servers have died while running
// it. The policy sets that number, and whether suspects run one at a time, so
// that the next death has a single possible cause.
//
// # Usage
//
//	watch := brpoison.NewWatch[brpoison.Sparing]()
//	if watch.Begin(now, fingerprint) == brpoison.Runs {
//		watch.Killed(now, fingerprint, "ledger-1")
//	}
package brpoison

import (
	"maps"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	suspicionPeriod = 10 * time.Minute
	refusalPeriod   = 10 * time.Minute
	maxTrialTime    = 30 * time.Second // if the end of the suspect is never reported
	maxSuspects     = 4096
	maxHarmless     = 8192
	// harmlessPeriod is how long a request that completed can't become a suspect. It
	// is short since a newer version of a server may crash on a request that an
	// older version ran.
	harmlessPeriod = 10 * time.Second
	// clearanceRetention is how long a clearance is kept, since it may arrive before
	// the notice of the death that it refers to.
	clearanceRetention = 30 * time.Second
)

// Verdict says whether a request may run.
type Verdict int

// The verdicts.
const (
	// Runs means that the request may run now.
	Runs Verdict = iota
	// Waits means that another suspect is running; the request may be tried again
	// later.
	Waits
	// Refused means that the request is a poison request.
	Refused
)

// Finding is the effect of a server's death on a request that was running there.
type Finding int

// The findings.
const (
	// Suspected means that the request is a suspect, or that the death changes
	// nothing for it. It is not refused because of this death.
	Suspected Finding = iota
	// Condemned means that the request is refused from now on.
	Condemned
	// Acquitted means that the request completed recently and stays allowed.
	Acquitted
)

// Watch tracks suspect, refused and harmless requests. It is not safe for
// concurrent use.
type Watch[P Policy] struct {
	policy   P
	suspects map[brrequest.Fingerprint]*suspect
	refused  map[brrequest.Fingerprint]time.Time // value: end of the refusal
	harmless *recentSet
	cleared  map[death]time.Time // value: time of the clearance
	trial    brrequest.Fingerprint
	trialEnd time.Time
}

// death is the death of a server that was running a request.
type death struct {
	fingerprint brrequest.Fingerprint
	server      string
}

type suspect struct {
	servers brset.Set[string]
	until   time.Time
}

// NewWatch returns a watch without any requests.
func NewWatch[P Policy]() *Watch[P] {
	return &Watch[P]{
		suspects: map[brrequest.Fingerprint]*suspect{},
		refused:  map[brrequest.Fingerprint]time.Time{},
		harmless: newRecentSet(maxHarmless),
		cleared:  map[death]time.Time{},
	}
}

// Begin decides whether a request may run now. With a serial policy, it starts
// the trial of a suspect that it lets run.
func (w *Watch[P]) Begin(now time.Time, fingerprint brrequest.Fingerprint) Verdict {
	if w.Refuses(now, fingerprint) {
		return Refused
	}
	s, ok := w.suspects[fingerprint]
	if !w.policy.Serial() || !ok || !s.until.After(now) {
		return Runs
	}
	if w.trialEnd.After(now) {
		return Waits
	}
	w.trial = fingerprint
	w.trialEnd = now.Add(maxTrialTime)
	return Runs
}

// Ran records that a request completed, and returns the servers whose deaths had
// made it a suspect, in ascending order.
func (w *Watch[P]) Ran(now time.Time, fingerprint brrequest.Fingerprint) []string {
	servers := []string{}
	if s, ok := w.suspects[fingerprint]; ok {
		servers = slices.Sorted(s.servers.All())
	}
	delete(w.suspects, fingerprint)
	w.harmless.add(now, fingerprint)
	w.Ended(fingerprint)
	return servers
}

// Acquit records that the request completed on another VM at about the time at
// which a server died. It ends a refusal and reports whether there was one.
func (w *Watch[P]) Acquit(now time.Time, fingerprint brrequest.Fingerprint, server string) bool {
	w.cleared[death{fingerprint: fingerprint, server: server}] = now
	return w.Lift(now, fingerprint)
}

// Ended records that a request ended without showing whether it is harmless, and
// ends its trial.
func (w *Watch[P]) Ended(fingerprint brrequest.Fingerprint) {
	if w.trial == fingerprint {
		w.trialEnd = time.Time{}
	}
}

// Killed records that a server died while running a request.
func (w *Watch[P]) Killed(now time.Time, fingerprint brrequest.Fingerprint, server string) Finding {
	w.Ended(fingerprint)
	if w.harmless.addedSince(fingerprint, now.Add(-harmlessPeriod)) {
		return Acquitted
	}
	_, cleared := w.cleared[death{fingerprint: fingerprint, server: server}]
	s, ok := w.suspects[fingerprint]
	if cleared || w.Refuses(now, fingerprint) || !ok && len(w.suspects) >= maxSuspects {
		return Suspected
	}
	if !ok || !s.until.After(now) {
		s = &suspect{}
		w.suspects[fingerprint] = s
	}
	s.servers.Add(server)
	s.until = now.Add(suspicionPeriod)
	if s.servers.Len() < w.policy.DeathThreshold() {
		return Suspected
	}
	delete(w.suspects, fingerprint)
	w.refused[fingerprint] = now.Add(refusalPeriod)
	return Condemned
}

// Shared reports whether notices between VMs are aggregated in transit.
func (w *Watch[P]) Shared() bool { return w.policy.Aggregated() }

// Suspects reports whether a request is a suspect or refused.
func (w *Watch[P]) Suspects(now time.Time, fingerprint brrequest.Fingerprint) bool {
	_, suspected := w.suspects[fingerprint]
	return suspected || w.Refuses(now, fingerprint)
}

// Refuses reports whether a request is refused now.
func (w *Watch[P]) Refuses(now time.Time, fingerprint brrequest.Fingerprint) bool {
	return w.refused[fingerprint].After(now)
}

// Lift ends the suspicion and refusal of a request and reports whether it was
// refused.
func (w *Watch[P]) Lift(now time.Time, fingerprint brrequest.Fingerprint) bool {
	wasRefused := w.Refuses(now, fingerprint)
	delete(w.refused, fingerprint)
	delete(w.suspects, fingerprint)
	return wasRefused
}

// Expire removes suspects, refusals and clearances that are out of date.
func (w *Watch[P]) Expire(now time.Time) {
	for fingerprint, until := range w.refused {
		if !until.After(now) {
			delete(w.refused, fingerprint)
		}
	}
	maps.DeleteFunc(w.cleared, func(_ death, at time.Time) bool { return now.Sub(at) > clearanceRetention })
	for fingerprint, s := range w.suspects {
		if !s.until.After(now) {
			delete(w.suspects, fingerprint)
		}
	}
}

// Refusal is a refused request with the time at which its refusal ends.
type Refusal struct {
	fingerprint brrequest.Fingerprint
	until       time.Time
}

// Fingerprint returns the fingerprint of the request.
func (r Refusal) Fingerprint() brrequest.Fingerprint { return r.fingerprint }

// Until returns the end of the refusal.
func (r Refusal) Until() time.Time { return r.until }

// Refusals returns the refused requests, ordered by the end of their refusal.
func (w *Watch[P]) Refusals(now time.Time) []Refusal {
	refusals := []Refusal{}
	for fingerprint, until := range w.refused {
		if until.After(now) {
			refusals = append(refusals, Refusal{fingerprint: fingerprint, until: until})
		}
	}
	slices.SortFunc(refusals, func(a, b Refusal) int { return a.until.Compare(b.until) })
	return refusals
}
