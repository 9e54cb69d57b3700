// Package brpoison detects poison requests, which crash the servers that run
// them, and decides which requests are refused for it.
//
// A request is identified by its fingerprint. When a server crashes, the requests
// that were running on it become suspects. A suspect that completes is cleared.
// A suspect is refused for some time once enough servers have crashed while running
// it. The policy sets that number, and whether suspects run one at a time, so
// that the next crash has a single possible cause.
//
// # Usage
//
//	detector := brpoison.NewDetector[brpoison.SerialPolicy]()
//	if detector.Begin(now, fingerprint) == brpoison.Admitted {
//		detector.RecordCrash(now, fingerprint, "ledger-1")
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
	maxTrialTime    = 30 * time.Second // if the end of the request is never reported
	maxSuspects     = 4096
	maxHarmless     = 8192
	// harmlessPeriod is how long a request that completed can't become a suspect. It
	// is short since a newer version of a server may crash on a request that an
	// older version completed.
	harmlessPeriod = 10 * time.Second
	// clearanceRetention is how long a clearance is kept, since it may arrive
	// before the notice of the crash that it refers to.
	clearanceRetention = 30 * time.Second
	// minCaseCrashes is the number of crashes from which other VMs are told of a suspect
	// again and again. Many harmless requests run on a server that crashes once.
	minCaseCrashes = 2
	// maxCases bounds the requests of which other VMs are told again and again.
	maxCases = 64
	// minRemaining is the remaining time below which what another VM knows is not taken over:
	// VMs would pass on to each other what is about to end.
	minRemaining = 5 * time.Second
)

// Verdict says whether a request may run.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request may run now.
	Admitted Verdict = iota
	// Deferred means that another suspect is running; the request may be tried again
	// later.
	Deferred
	// Refused means that the request is a poison request.
	Refused
)

// Finding is the effect of a server's crash on a request that was running there.
type Finding int

// The findings.
const (
	// Suspected means that the request is a suspect, or that the crash changes
	// nothing for it. It is not refused because of this crash.
	Suspected Finding = iota
	// Confirmed means that the request is refused from now on.
	Confirmed
	// Cleared means that the request completed recently and stays allowed.
	Cleared
)

// Detector tracks suspect, refused and harmless requests. It is not safe for
// concurrent use.
type Detector[P Policy] struct {
	policy   P
	suspects map[brrequest.Fingerprint]*suspect
	refused  map[brrequest.Fingerprint]time.Time // value: end of the refusal
	harmless *recentSet
	cleared  map[crash]time.Time // value: time of the clearance
	// lifted holds when suspicions and refusals ended before their time, so that VMs that
	// don't know that yet don't bring them back.
	lifted   map[brrequest.Fingerprint]time.Time
	trial    brrequest.Fingerprint
	trialEnd time.Time
}

// crash is the crash of a server that was running a request.
type crash struct {
	fingerprint brrequest.Fingerprint
	server      string
}

// suspect is a request that was running on servers when they crashed.
type suspect struct {
	servers brset.Set[string]
	end     time.Time // of the suspicion
}

// NewDetector returns a detector that has seen no requests.
func NewDetector[P Policy]() *Detector[P] {
	return &Detector[P]{
		suspects: map[brrequest.Fingerprint]*suspect{},
		refused:  map[brrequest.Fingerprint]time.Time{},
		harmless: newRecentSet(maxHarmless),
		cleared:  map[crash]time.Time{},
		lifted:   map[brrequest.Fingerprint]time.Time{},
	}
}

// Begin decides whether a request may run now. With a serial policy, it starts
// the trial of a suspect that it lets run.
func (d *Detector[P]) Begin(now time.Time, fingerprint brrequest.Fingerprint) Verdict {
	if d.IsRefused(now, fingerprint) {
		return Refused
	}
	s, ok := d.suspects[fingerprint]
	if !d.policy.Serial() || !ok || !s.end.After(now) {
		return Admitted
	}
	if d.trialEnd.After(now) {
		return Deferred
	}
	d.trial = fingerprint
	d.trialEnd = now.Add(maxTrialTime)
	return Admitted
}

// RecordCompletion records that a request completed, and returns the servers whose crashes had
// made it a suspect, in ascending order.
func (d *Detector[P]) RecordCompletion(now time.Time, fingerprint brrequest.Fingerprint) []string {
	servers := []string{}
	if s, ok := d.suspects[fingerprint]; ok {
		servers = slices.Sorted(s.servers.All())
		d.recordLift(now, fingerprint)
	}
	delete(d.suspects, fingerprint)
	d.harmless.add(now, fingerprint)
	d.EndTrial(fingerprint)
	return servers
}

// Clear records that the request completed on another VM at about the time at
// which a server crashed. It ends a refusal and reports whether there was one.
func (d *Detector[P]) Clear(now time.Time, fingerprint brrequest.Fingerprint, server string) bool {
	d.cleared[crash{fingerprint: fingerprint, server: server}] = now
	return d.Lift(now, fingerprint)
}

// EndTrial records that a request ended without showing whether it is harmless, and
// ends its trial.
func (d *Detector[P]) EndTrial(fingerprint brrequest.Fingerprint) {
	if d.trial == fingerprint {
		d.trialEnd = time.Time{}
	}
}

// RecordCrash records that a server crashed while running a request.
func (d *Detector[P]) RecordCrash(now time.Time, fingerprint brrequest.Fingerprint, server string) Finding {
	d.EndTrial(fingerprint)
	if d.harmless.addedSince(fingerprint, now.Add(-harmlessPeriod)) {
		return Cleared
	}
	_, cleared := d.cleared[crash{fingerprint: fingerprint, server: server}]
	s, ok := d.suspects[fingerprint]
	if cleared || d.IsRefused(now, fingerprint) || !ok && len(d.suspects) >= maxSuspects {
		return Suspected
	}
	if !ok || !s.end.After(now) {
		s = &suspect{}
		d.suspects[fingerprint] = s
	}
	s.servers.Add(server)
	s.end = now.Add(suspicionPeriod)
	if s.servers.Len() < d.policy.CrashThreshold() {
		return Suspected
	}
	delete(d.suspects, fingerprint)
	d.refused[fingerprint] = now.Add(refusalPeriod)
	return Confirmed
}

// Aggregated reports whether notices between VMs are aggregated in transit.
func (d *Detector[P]) Aggregated() bool { return d.policy.Aggregated() }

// IsSuspect reports whether a request is a suspect or is refused.
func (d *Detector[P]) IsSuspect(now time.Time, fingerprint brrequest.Fingerprint) bool {
	_, suspected := d.suspects[fingerprint]
	return suspected || d.IsRefused(now, fingerprint)
}

// IsRefused reports whether a request is refused now.
func (d *Detector[P]) IsRefused(now time.Time, fingerprint brrequest.Fingerprint) bool {
	return d.refused[fingerprint].After(now)
}

// Lift ends the suspicion and refusal of a request and reports whether it was
// refused.
func (d *Detector[P]) Lift(now time.Time, fingerprint brrequest.Fingerprint) bool {
	wasRefused := d.IsRefused(now, fingerprint)
	d.recordLift(now, fingerprint)
	delete(d.refused, fingerprint)
	delete(d.suspects, fingerprint)
	return wasRefused
}

func (d *Detector[P]) recordLift(now time.Time, fingerprint brrequest.Fingerprint) {
	if len(d.lifted) < maxSuspects {
		d.lifted[fingerprint] = now
	}
}

// Expire removes suspects, refusals and clearances that have expired.
func (d *Detector[P]) Expire(now time.Time) {
	for fingerprint, until := range d.refused {
		if !until.After(now) {
			delete(d.refused, fingerprint)
		}
	}
	maps.DeleteFunc(d.lifted, func(_ brrequest.Fingerprint, at time.Time) bool { return now.Sub(at) > refusalPeriod })
	maps.DeleteFunc(d.cleared, func(_ crash, at time.Time) bool { return now.Sub(at) > clearanceRetention })
	for fingerprint, s := range d.suspects {
		if !s.end.After(now) {
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
func (d *Detector[P]) Refusals(now time.Time) []Refusal {
	refusals := []Refusal{}
	for fingerprint, until := range d.refused {
		if until.After(now) {
			refusals = append(refusals, Refusal{fingerprint: fingerprint, until: until})
		}
	}
	slices.SortFunc(refusals, func(a, b Refusal) int { return a.until.Compare(b.until) })
	return refusals
}

// Cases returns what VMs that start later need to know: the refused requests, and the suspects
// of several crashes; the former first, and those that end last before others.
func (d *Detector[P]) Cases(now time.Time) []brrequest.PoisonCase {
	refused, suspects := []brrequest.PoisonCase{}, []brrequest.PoisonCase{}
	for fingerprint, until := range d.refused {
		if until.After(now) {
			refused = append(refused, brrequest.NewRefusedCase(fingerprint, until))
		}
	}
	for fingerprint, s := range d.suspects {
		if s.end.After(now) && s.servers.Len() >= minCaseCrashes {
			suspects = append(suspects, brrequest.NewSuspectCase(fingerprint, slices.Sorted(s.servers.All()), s.end))
		}
	}
	latestFirst := func(a, b brrequest.PoisonCase) int { return b.End().Compare(a.End()) }
	slices.SortFunc(refused, latestFirst)
	slices.SortFunc(suspects, latestFirst)
	cases := slices.Concat(refused, suspects)
	return cases[:min(len(cases), maxCases)]
}

// Adopt takes over what another VM knows of a request, for the time that remains there. A
// refusal is not renewed, and what ended here before its time is not brought back: the finding
// is Cleared if nothing is taken over.
func (d *Detector[P]) Adopt(now time.Time, c brrequest.PoisonCase) Finding {
	fingerprint := c.Fingerprint()
	_, lifted := d.lifted[fingerprint]
	if lifted || d.IsRefused(now, fingerprint) || c.End().Sub(now) < minRemaining || d.harmless.addedSince(fingerprint, now.Add(-harmlessPeriod)) {
		return Cleared
	}
	if c.IsRefused() {
		delete(d.suspects, fingerprint)
		d.refused[fingerprint] = minTime(c.End(), now.Add(refusalPeriod))
		return Confirmed
	}
	return d.adoptSuspect(now, c)
}

func (d *Detector[P]) adoptSuspect(now time.Time, c brrequest.PoisonCase) Finding {
	s, known := d.suspects[c.Fingerprint()]
	if !known && len(d.suspects) >= maxSuspects {
		return Cleared
	}
	if !known || !s.end.After(now) {
		s = &suspect{end: minTime(c.End(), now.Add(suspicionPeriod))}
		d.suspects[c.Fingerprint()] = s
	}
	for _, server := range c.Servers() {
		s.servers.Add(server)
	}
	if s.servers.Len() < d.policy.CrashThreshold() {
		return Suspected
	}
	delete(d.suspects, c.Fingerprint())
	d.refused[c.Fingerprint()] = s.end
	return Confirmed
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
