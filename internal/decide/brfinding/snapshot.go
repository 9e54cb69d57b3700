package brfinding

import (
	"slices"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// snapshotCheck checks the project's own resources.
type snapshotCheck struct {
	findings
	snapshot *brconfig.Snapshot
}

// CheckSnapshot checks resources that are valid on their own and refer to existing ones.
func CheckSnapshot(snapshot *brconfig.Snapshot) []Finding {
	c := &snapshotCheck{snapshot: snapshot}
	routes := slices.Collect(snapshot.Routes().All())
	for _, r := range routes {
		c.shadowed(r, routes)
		c.service(r)
	}
	for s := range snapshot.Selectors().All() {
		c.selector(s)
	}
	for o := range snapshot.Organisations().All() {
		c.organisation(o)
	}
	for contract := range snapshot.Contracts().All() {
		c.contract(contract)
	}
	return c.sorted()
}

// shadowed checks whether other routes take all requests of a route. They do with an equal
// prefix if they list its methods, or accept all methods too and come first by name.
func (c *snapshotCheck) shadowed(r brconfig.Route, routes []brconfig.Route) {
	taken := brset.New[string]()
	for _, other := range routes {
		if other.Name() == r.Name() || other.PathPrefix() != r.PathPrefix() {
			continue
		}
		if first := precedes(other, r); first && len(other.Methods()) == 0 {
			c.add(SeverityError, CodeShadowed, kindRoute, r.Name(), "pathPrefix", "route %q with the same prefix takes all its requests", other.Name())
			return
		} else if first {
			for _, method := range other.Methods() {
				taken.Add(method)
			}
		}
	}
	untaken := func(method string) bool { return !taken.Has(method) }
	if len(r.Methods()) > 0 && !slices.ContainsFunc(r.Methods(), untaken) {
		c.add(SeverityError, CodeShadowed, kindRoute, r.Name(), "methods", "other routes with the same prefix take all its methods")
	}
}

// precedes reports whether a request that matches both of two routes with equal prefixes goes
// to the first one, as brroute.Matcher decides.
func precedes(a, b brconfig.Route) bool {
	if len(a.Methods()) != len(b.Methods()) {
		return len(a.Methods()) > len(b.Methods())
	}
	return a.Name() < b.Name()
}

func (c *snapshotCheck) service(r brconfig.Route) {
	for s := range c.snapshot.Servers().All() {
		if s.Service() == r.Service() && s.State() == brconfig.ServerServing {
			return
		}
	}
	c.add(SeverityError, CodeServiceWithoutServer, kindRoute, r.Name(), "service", "service %q has no server", r.Service())
}

// selector checks that a selector matches a resource and that its targets can get requests.
func (c *snapshotCheck) selector(s brconfig.Selector) {
	kind := string(brconfig.KindSelector)
	matches := false
	for r := range c.snapshot.All(s.Selects()) {
		matches = matches || s.Matches(r)
	}
	if !matches {
		c.add(SeverityWarning, CodeNeverMatches, kind, s.Name(), "where", "matches no %s", s.Selects())
	}
	if s.Effect().Kind() != brconfig.EffectWeights {
		return
	}
	served := c.servedTargets()
	for _, w := range s.Effect().Weights() {
		if w.Fraction().Sign() == 0 {
			c.add(SeverityWarning, CodeWeightZero, kind, s.Name(), "effect.weights", "weight 0: %s %q gets no requests", w.Target(), w.Name())
			continue
		}
		if reference := brconfig.NewReference(brconfig.Kind(w.Target()), w.Name()); w.Target() != brconfig.TargetVersion && !served.Has(reference) {
			c.add(SeverityError, CodeRegionWithoutServer, kind, s.Name(), "effect.weights", "%s %q has no server", w.Target(), w.Name())
		}
	}
}

// servedTargets returns the failure domains and regions that have servers.
func (c *snapshotCheck) servedTargets() brset.Set[brconfig.Reference] {
	served := brset.New[brconfig.Reference]()
	for s := range c.snapshot.Servers().All() {
		served.Add(brconfig.NewReference(brconfig.KindDomain, s.Domain()))
		if domain, ok := c.snapshot.Domains().Get(s.Domain()).Get(); ok {
			served.Add(brconfig.NewReference(brconfig.KindRegion, domain.Region()))
		}
	}
	return served
}

func (c *snapshotCheck) organisation(o brconfig.Organisation) {
	for k := range c.snapshot.Keys().All() {
		if k.Organisation() == o.Name() {
			return
		}
	}
	c.add(SeverityWarning, CodeKeyMissing, kindOrganisation, o.Name(), "", "has no key")
}

// contract checks that the burst admits a request of every route.
func (c *snapshotCheck) contract(contract brconfig.Contract) {
	unit, ok := c.snapshot.Units().Get(contract.Unit()).Get()
	if !ok {
		return
	}
	for r := range c.snapshot.Routes().All() {
		if weight := unit.Weight(r.Name()); contract.Burst().Compare(weight) < 0 {
			c.add(SeverityError, CodeBurst, string(brconfig.KindContract), contract.Name(), "burst", "burst %s is below the %s of a request to route %q: none is ever admitted", contract.Burst(), weight, r.Name())
			return
		}
	}
}
