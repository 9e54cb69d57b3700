// Package brpoison decides which requests are refused because servers die of them.
//
// A request is known by its fingerprint. The first death of a server makes
// the requests that ran on it suspects; a suspect that runs to its end is one
// no more. Only one suspect runs at a time, so that the next death has one
// cause. A suspect at the death of a second server is refused for a time.
//
// # Usage
//
//	watch := brpoison.NewWatch()
//	if watch.Begin(now, fingerprint) == brpoison.Runs {
//		watch.Killed(now, fingerprint, "ledger-1")
//	}
package brpoison

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	deadlyServers    = 2
	suspicionTime    = 10 * time.Minute
	refusalTime      = 10 * time.Minute
	longestTrial     = 30 * time.Second // of a suspect whose end is not reported
	maxSuspects      = 4096
	maxKnownHarmless = 8192
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

// Watch knows suspects, refused and harmless requests. It has one owner.
type Watch struct {
	suspects map[brrequest.Fingerprint]*suspect
	refused  map[brrequest.Fingerprint]time.Time // end of the refusal
	harmless *recent
	trial    brrequest.Fingerprint
	trialEnd time.Time
}

type suspect struct {
	servers brset.Set[string]
	until   time.Time
}

// NewWatch returns a watch that knows of nothing.
func NewWatch() *Watch {
	return &Watch{
		suspects: map[brrequest.Fingerprint]*suspect{},
		refused:  map[brrequest.Fingerprint]time.Time{},
		harmless: newRecent(maxKnownHarmless),
	}
}

// Begin returns whether a request may run now.
func (w *Watch) Begin(now time.Time, fingerprint brrequest.Fingerprint) Verdict {
	if w.refused[fingerprint].After(now) {
		return Refused
	}
	s, ok := w.suspects[fingerprint]
	if !ok || !s.until.After(now) {
		return Runs
	}
	if w.trialEnd.After(now) {
		return Waits
	}
	w.trial = fingerprint
	w.trialEnd = now.Add(longestTrial)
	return Runs
}

// Ran takes note that a request ran to its end.
func (w *Watch) Ran(fingerprint brrequest.Fingerprint) {
	delete(w.suspects, fingerprint)
	w.harmless.add(fingerprint)
	w.Ended(fingerprint)
}

// Ended takes note that a request ended in a way that says nothing of it.
func (w *Watch) Ended(fingerprint brrequest.Fingerprint) {
	if w.trial == fingerprint {
		w.trialEnd = time.Time{}
	}
}

// Killed takes note that a server died while it ran a request, and reports
// whether the request is refused from now on.
func (w *Watch) Killed(now time.Time, fingerprint brrequest.Fingerprint, server string) bool {
	w.Ended(fingerprint)
	if w.harmless.has(fingerprint) || w.refused[fingerprint].After(now) {
		return false
	}
	s, ok := w.suspects[fingerprint]
	if !ok && len(w.suspects) >= maxSuspects {
		return false
	}
	if !ok || !s.until.After(now) {
		s = &suspect{}
		w.suspects[fingerprint] = s
	}
	s.servers.Add(server)
	s.until = now.Add(suspicionTime)
	if s.servers.Len() < deadlyServers {
		return false
	}
	delete(w.suspects, fingerprint)
	w.refused[fingerprint] = now.Add(refusalTime)
	return true
}

// Lift ends the refusal of a request and reports whether there was one.
func (w *Watch) Lift(now time.Time, fingerprint brrequest.Fingerprint) bool {
	was := w.refused[fingerprint].After(now)
	delete(w.refused, fingerprint)
	delete(w.suspects, fingerprint)
	return was
}

// Expire forgets what is over.
func (w *Watch) Expire(now time.Time) {
	for fingerprint, until := range w.refused {
		if !until.After(now) {
			delete(w.refused, fingerprint)
		}
	}
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
func (w *Watch) Refusals(now time.Time) []Refusal {
	refusals := []Refusal{}
	for fingerprint, until := range w.refused {
		if until.After(now) {
			refusals = append(refusals, Refusal{fingerprint: fingerprint, until: until})
		}
	}
	slices.SortFunc(refusals, func(a, b Refusal) int { return a.until.Compare(b.until) })
	return refusals
}
