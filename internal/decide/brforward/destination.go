package brforward

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// unlinkedDelay is assumed for a region without a link, so that it sorts last.
const unlinkedDelay = time.Duration(math.MaxInt64)

// destination is a failure domain with servers of a service.
type destination struct {
	domain  string
	delay   time.Duration
	targets []brrequest.Target
}

// destinationsOf returns, for each service, the other domains that have serving
// servers and an entry VM, nearest first.
func destinationsOf(snapshot *brconfig.Snapshot, ownDomain string) map[string][]destination {
	targets := targetsOf(snapshot)
	delays := delaysFrom(snapshot, ownDomain)
	destinations := map[string][]destination{}
	seen := map[[2]string]bool{}
	for s := range snapshot.Servers().All() {
		key := [2]string{s.Service(), s.Domain()}
		if s.Domain() == ownDomain || s.State() != brconfig.ServerServing || seen[key] || len(targets[s.Domain()]) == 0 {
			continue
		}
		seen[key] = true
		destinations[s.Service()] = append(destinations[s.Service()], destination{
			domain:  s.Domain(),
			delay:   delays(s.Domain()),
			targets: targets[s.Domain()],
		})
	}
	for _, ofService := range destinations {
		slices.SortFunc(ofService, func(a, b destination) int {
			return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.domain, b.domain))
		})
	}
	return destinations
}

// targetsOf returns the entry VMs of each domain.
func targetsOf(snapshot *brconfig.Snapshot) map[string][]brrequest.Target {
	targets := map[string][]brrequest.Target{}
	for v := range snapshot.VMs().All() {
		site, ok := snapshot.Sites().Get(v.Site()).Get()
		if !ok {
			continue
		}
		targets[site.Domain()] = append(targets[site.Domain()], brrequest.NewTarget(site.Domain(), v.Name(), v.PeerAddress()))
	}
	return targets
}

// delaysFrom returns a function that returns the link delay from the own domain to
// another one; it is 0 within the region.
func delaysFrom(snapshot *brconfig.Snapshot, ownDomain string) func(domain string) time.Duration {
	region := regionOf(snapshot, ownDomain)
	delayByRegion := map[string]time.Duration{}
	for l := range snapshot.Links().All() {
		if l.From() == region {
			delayByRegion[l.To()] = l.Delay()
		}
	}
	return func(domain string) time.Duration {
		other := regionOf(snapshot, domain)
		if other == region {
			return 0
		}
		if delay, ok := delayByRegion[other]; ok {
			return delay
		}
		return unlinkedDelay
	}
}

func regionOf(snapshot *brconfig.Snapshot, domain string) string {
	d, _ := snapshot.Domains().Get(domain).Get()
	return d.Region()
}
