// Package brpoison decides which requests are refused because servers die of them.
//
// A request is known by its fingerprint. The first death of a server makes
// the requests that ran on it suspects; a suspect that runs to its end is one
// no more. A policy says at how many deaths a suspect is refused for a time, and
// whether suspects run one at a time, so that the next death has one cause.
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
	suspicionTime    = 10 * time.Minute
	refusalTime      = 10 * time.Minute
	longestTrial     = 30 * time.Second // of a suspect whose end is not reported
	maxSuspects      = 4096
	maxKnownHarmless = 8192
	// harmlessTime is how long a request that ran to its end is above suspicion;
	// another version of a server may die of what an older one ran.
	harmlessTime = 10 * time.Second
	// acquittalTime is how long an acquittal is kept, which may arrive before what
	// it answers.
	acquittalTime = 30 * time.Second
)

// Verdict says whether a request may run.
type Verdict int

// The verdicts.
const (
	// Runs means that nothing speaks against the request.
	Runs Verdict = iota
	// Waits means that another suspect runs; this one may be tried later.
	Waits
	// Refused means that the request has killed servers.
	Refused
)

// Finding says what the death of a server means for a request that ran there.
type Finding int

// The findings.
const (
	// Suspected means that the request may run, for now.
	Suspected Finding = iota
	// Condemned means that the request is refused from now on.
	Condemned
	// Acquitted means that the request has run to its end lately.
	Acquitted
)

// Watch knows suspects, refused and harmless requests. It has one owner.
type Watch[P Policy] struct {
	policy    P
	suspects  map[brrequest.Fingerprint]*suspect
	refused   map[brrequest.Fingerprint]time.Time // end of the refusal
	harmless  *recent
	acquitted map[death]time.Time // when it was told
	trial     brrequest.Fingerprint
	trialEnd  time.Time
}

// death is the end of a server that is put down to a request.
type death struct {
	fingerprint brrequest.Fingerprint
	server      string
}

type suspect struct {
	servers brset.Set[string]
	until   time.Time
}

// NewWatch returns a watch that knows of nothing.
func NewWatch[P Policy]() *Watch[P] {
	return &Watch[P]{
		suspects:  map[brrequest.Fingerprint]*suspect{},
		refused:   map[brrequest.Fingerprint]time.Time{},
		harmless:  newRecent(maxKnownHarmless),
		acquitted: map[death]time.Time{},
	}
}

// Begin returns whether a request may run now.
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
	w.trialEnd = now.Add(longestTrial)
	return Runs
}

// Ran takes note that a request ran to its end, and returns the servers whose
// deaths were put down to it, in order.
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

// Acquit takes note that another VM saw a request run to its end about when a
// server died, and reports whether the request was refused.
func (w *Watch[P]) Acquit(now time.Time, fingerprint brrequest.Fingerprint, server string) bool {
	w.acquitted[death{fingerprint: fingerprint, server: server}] = now
	return w.Lift(now, fingerprint)
}

// Ended takes note that a request ended in a way that says nothing of it.
func (w *Watch[P]) Ended(fingerprint brrequest.Fingerprint) {
	if w.trial == fingerprint {
		w.trialEnd = time.Time{}
	}
}

// Killed takes note that a server died while it ran a request.
func (w *Watch[P]) Killed(now time.Time, fingerprint brrequest.Fingerprint, server string) Finding {
	w.Ended(fingerprint)
	if w.harmless.since(fingerprint, now.Add(-harmlessTime)) {
		return Acquitted
	}
	_, acquitted := w.acquitted[death{fingerprint: fingerprint, server: server}]
	s, ok := w.suspects[fingerprint]
	if acquitted || w.Refuses(now, fingerprint) || !ok && len(w.suspects) >= maxSuspects {
		return Suspected
	}
	if !ok || !s.until.After(now) {
		s = &suspect{}
		w.suspects[fingerprint] = s
	}
	s.servers.Add(server)
	s.until = now.Add(suspicionTime)
	if s.servers.Len() < w.policy.Deadly() {
		return Suspected
	}
	delete(w.suspects, fingerprint)
	w.refused[fingerprint] = now.Add(refusalTime)
	return Condemned
}

// Shared reports whether what VMs tell is summed up on its way.
func (w *Watch[P]) Shared() bool { return w.policy.Shared() }

// Suspects reports whether deaths of servers are put down to a request.
func (w *Watch[P]) Suspects(now time.Time, fingerprint brrequest.Fingerprint) bool {
	_, suspected := w.suspects[fingerprint]
	return suspected || w.Refuses(now, fingerprint)
}

// Refuses reports whether a request is refused now.
func (w *Watch[P]) Refuses(now time.Time, fingerprint brrequest.Fingerprint) bool {
	return w.refused[fingerprint].After(now)
}

// Lift ends the refusal of a request and reports whether there was one.
func (w *Watch[P]) Lift(now time.Time, fingerprint brrequest.Fingerprint) bool {
	was := w.Refuses(now, fingerprint)
	delete(w.refused, fingerprint)
	delete(w.suspects, fingerprint)
	return was
}

// Expire forgets what is over.
func (w *Watch[P]) Expire(now time.Time) {
	for fingerprint, until := range w.refused {
		if !until.After(now) {
			delete(w.refused, fingerprint)
		}
	}
	maps.DeleteFunc(w.acquitted, func(_ death, at time.Time) bool { return now.Sub(at) > acquittalTime })
	for fingerprint, s := range w.suspects {
		if !s.until.After(now) {
			delete(w.suspects, fingerprint)
		}
	}
}

// Refusal is a request that is refused until a time.
type Refusal struct {
	fingerprint brrequest.Fingerprint
	until       time.Time
}

// Fingerprint returns the fingerprint of the request.
func (r Refusal) Fingerprint() brrequest.Fingerprint { return r.fingerprint }

// Until returns the end of the refusal.
func (r Refusal) Until() time.Time { return r.until }

// Refusals returns the requests that are refused, by ascending end.
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
