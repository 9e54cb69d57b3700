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
//	detector := brpoison.NewWatch[brpoison.Sparing]()
//	if detector.Begin(now, fingerprint) == brpoison.Runs {
//		detector.Killed(now, fingerprint, "ledger-1")
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
	// clearanceRetention is how long a clearance is kept, since it may arrive
	// before the notice of the death that it refers to.
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

// NewWatch returns a detector that has seen no requests.
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
func (d *Watch[P]) Begin(now time.Time, fingerprint brrequest.Fingerprint) Verdict {
	if d.Refuses(now, fingerprint) {
		return Refused
	}
	s, ok := d.suspects[fingerprint]
	if !d.policy.Serial() || !ok || !s.until.After(now) {
		return Runs
	}
	if d.trialEnd.After(now) {
		return Waits
	}
	d.trial = fingerprint
	d.trialEnd = now.Add(maxTrialTime)
	return Runs
}

// Ran records that a request completed, and returns the servers whose deaths had
// made it a suspect, in ascending order.
func (d *Watch[P]) Ran(now time.Time, fingerprint brrequest.Fingerprint) []string {
	servers := []string{}
	if s, ok := d.suspects[fingerprint]; ok {
		servers = slices.Sorted(s.servers.All())
	}
	delete(d.suspects, fingerprint)
	d.harmless.add(now, fingerprint)
	d.Ended(fingerprint)
	return servers
}

// Acquit records that the request completed on another VM at about the time at
// which a server died. It ends a refusal and reports whether there was one.
func (d *Watch[P]) Acquit(now time.Time, fingerprint brrequest.Fingerprint, server string) bool {
	d.cleared[death{fingerprint: fingerprint, server: server}] = now
	return d.Lift(now, fingerprint)
}

// Ended records that a request ended without showing whether it is harmless, and
// ends its trial.
func (d *Watch[P]) Ended(fingerprint brrequest.Fingerprint) {
	if d.trial == fingerprint {
		d.trialEnd = time.Time{}
	}
}

// Killed records that a server died while running a request.
func (d *Watch[P]) Killed(now time.Time, fingerprint brrequest.Fingerprint, server string) Finding {
	d.Ended(fingerprint)
	if d.harmless.addedSince(fingerprint, now.Add(-harmlessPeriod)) {
		return Acquitted
	}
	_, cleared := d.cleared[death{fingerprint: fingerprint, server: server}]
	s, ok := d.suspects[fingerprint]
	if cleared || d.Refuses(now, fingerprint) || !ok && len(d.suspects) >= maxSuspects {
		return Suspected
	}
	if !ok || !s.until.After(now) {
		s = &suspect{}
		d.suspects[fingerprint] = s
	}
	s.servers.Add(server)
	s.until = now.Add(suspicionPeriod)
	if s.servers.Len() < d.policy.DeathThreshold() {
		return Suspected
	}
	delete(d.suspects, fingerprint)
	d.refused[fingerprint] = now.Add(refusalPeriod)
	return Condemned
}

// Shared reports whether notices between VMs are aggregated in transit.
func (d *Watch[P]) Shared() bool { return d.policy.Aggregated() }

// Suspects reports whether a request is a suspect or refused.
func (d *Watch[P]) Suspects(now time.Time, fingerprint brrequest.Fingerprint) bool {
	_, suspected := d.suspects[fingerprint]
	return suspected || d.Refuses(now, fingerprint)
}

// Refuses reports whether a request is refused now.
func (d *Watch[P]) Refuses(now time.Time, fingerprint brrequest.Fingerprint) bool {
	return d.refused[fingerprint].After(now)
}

// Lift ends the suspicion and refusal of a request and reports whether it was
// refused.
func (d *Watch[P]) Lift(now time.Time, fingerprint brrequest.Fingerprint) bool {
	wasRefused := d.Refuses(now, fingerprint)
	delete(d.refused, fingerprint)
	delete(d.suspects, fingerprint)
	return wasRefused
}

// Expire removes suspects, refusals and clearances that are out of date.
func (d *Watch[P]) Expire(now time.Time) {
	for fingerprint, until := range d.refused {
		if !until.After(now) {
			delete(d.refused, fingerprint)
		}
	}
	maps.DeleteFunc(d.cleared, func(_ death, at time.Time) bool { return now.Sub(at) > clearanceRetention })
	for fingerprint, s := range d.suspects {
		if !s.until.After(now) {
			delete(d.suspects, fingerprint)
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
func (d *Watch[P]) Refusals(now time.Time) []Refusal {
	refusals := []Refusal{}
	for fingerprint, until := range d.refused {
		if until.After(now) {
			refusals = append(refusals, Refusal{fingerprint: fingerprint, until: until})
		}
	}
	slices.SortFunc(refusals, func(a, b Refusal) int { return a.until.Compare(b.until) })
	return refusals
}
