// Package brforward decides which entry VM of another failure domain gets a
// request that cannot be placed in this domain.
//
// Domains of the same region come first, then others by the delay of the link to
// their region. A VM that this VM could not reach, or a domain that refused one of
// its requests, is skipped for a time that doubles with each failure. Within a
// domain, the VMs are chosen round-robin.
//
// # Usage
//
//	chooser := brforward.NewChooser("montevideo-a")
//	chooser.Update(snapshot)
//	target, ok := chooser.Next(now, "lookup", nil).Get()
//	chooser.Report(now, target, brrequest.OutcomeAnswered)
package brforward

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	minVMPause     = 500 * time.Millisecond // after a VM was unreachable
	maxVMPause     = 30 * time.Second
	minDomainPause = 100 * time.Millisecond // after a domain refused a request
	maxDomainPause = 2 * time.Second
)

// Chooser picks among the entry VMs of the other failure domains. It is not safe for
// concurrent use.
type Chooser struct {
	domain       string
	destinations map[string][]destination // by service
	vmPauses     map[string]pause         // by VM
	domainPauses map[string]pause         // by domain
	rotation     int
}

// pause is a time during which a VM or domain is skipped.
type pause struct {
	until  time.Time
	length time.Duration
}

// NewChooser returns a chooser for a VM of the given failure domain.
func NewChooser(domain string) *Chooser {
	return &Chooser{domain: domain, vmPauses: map[string]pause{}, domainPauses: map[string]pause{}}
}

// Update sets the current configuration.
func (c *Chooser) Update(snapshot *brconfig.Snapshot) {
	c.destinations = destinationsOf(snapshot, c.domain)
	for name := range c.vmPauses {
		if !snapshot.VMs().Get(name).IsPresent() {
			delete(c.vmPauses, name)
		}
	}
	for name := range c.domainPauses {
		if !snapshot.Domains().Get(name).IsPresent() {
			delete(c.domainPauses, name)
		}
	}
}

// Next returns the best VM for a service, outside the domains in triedDomains.
func (c *Chooser) Next(now time.Time, service string, triedDomains []string) broption.Option[brrequest.Target] {
	c.rotation++
	for _, d := range c.destinations[service] {
		if slices.Contains(triedDomains, d.domain) || c.domainPauses[d.domain].until.After(now) {
			continue
		}
		if target, ok := c.nextVM(now, d).Get(); ok {
			return broption.Some(target)
		}
	}
	return broption.None[brrequest.Target]()
}

// nextVM returns the next VM of a domain, round-robin, that is not paused.
func (c *Chooser) nextVM(now time.Time, d destination) broption.Option[brrequest.Target] {
	for i := range d.targets {
		target := d.targets[(c.rotation+i)%len(d.targets)]
		if !c.vmPauses[target.VM()].until.After(now) {
			return broption.Some(target)
		}
	}
	return broption.None[brrequest.Target]()
}

// Report records how a request to a VM ended.
func (c *Chooser) Report(now time.Time, target brrequest.Target, kind brrequest.OutcomeKind) {
	switch kind {
	case brrequest.OutcomeNotSent, brrequest.OutcomeBroken:
		c.vmPauses[target.VM()] = c.vmPauses[target.VM()].extend(now, minVMPause, maxVMPause)
	case brrequest.OutcomeShed:
		c.domainPauses[target.Domain()] = c.domainPauses[target.Domain()].extend(now, minDomainPause, maxDomainPause)
	case brrequest.OutcomeAnswered, brrequest.OutcomeFault:
		delete(c.vmPauses, target.VM())
		delete(c.domainPauses, target.Domain())
	case brrequest.OutcomeCancelled:
	}
}

// extend returns the pause after a failure. Failures during a pause are assumed
// to have the same cause and don't extend it.
func (p pause) extend(now time.Time, minLength, maxLength time.Duration) pause {
	if p.until.After(now) {
		return p
	}
	length := min(max(2*p.length, minLength), maxLength)
	return pause{until: now.Add(length), length: length}
}
