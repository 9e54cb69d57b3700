package brvalidation

import (
	"fmt"
	"slices"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brselector"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlabel"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

const (
	maxRequirements = 16
	maxValues       = 64
	maxTargets      = 256
	maxPriority     = 1_000_000
)

// selectableKinds contains the kinds of resources that a selector can match.
var selectableKinds = brset.New(brconfig.KindOrganisation, brconfig.KindRoute, brconfig.KindService,
	brconfig.KindServer, brconfig.KindRegion, brconfig.KindDomain)

func (c *checker) selector(s brconfig.Selector) {
	c.require(selectableKinds.Has(s.Selects()), "spec.selects", "must be one of %v", brset.Sorted(selectableKinds))
	c.require(s.Priority() >= -maxPriority && s.Priority() <= maxPriority, "spec.priority", "must be between -%[1]d and %[1]d", maxPriority)
	requirements := s.Expression().Requirements()
	c.require(len(requirements) <= maxRequirements, "spec.where", "must have at most %d conditions", maxRequirements)
	for i, r := range requirements {
		c.requirement(fmt.Sprintf("spec.where[%d]", i), r)
	}
	switch s.Effect().Kind() {
	case brconfig.EffectWeights:
		c.weights(s.Effect().Weights())
	case brconfig.EffectCap:
		c.exactFraction("spec.effect.cap", s.Effect().Cap())
	case brconfig.EffectVersion:
		c.name("spec.effect.version", s.Effect().Version())
	}
}

func (c *checker) requirement(field string, r brlabel.Requirement) {
	c.name(field+".key", r.Key())
	c.require(len(r.Values()) <= maxValues, field+".values", "must have at most %d entries", maxValues)
	switch r.Operator() {
	case brlabel.OperatorIn, brlabel.OperatorNotIn:
		c.require(len(r.Values()) > 0, field+".values", "must have at least 1 entry")
	case brlabel.OperatorExists, brlabel.OperatorAbsent:
		c.require(len(r.Values()) == 0, field+".values", "must be empty")
	default:
		c.addFieldError(field+".operator", "must be in, notin, exists or absent")
	}
}

// exactFraction requires a fraction that brselector can apply exactly to a sequence of
// requests, that is, one with a bounded denominator.
func (c *checker) exactFraction(field string, fraction brunit.Amount) {
	if _, err := brselector.NewCap(fraction); err != nil {
		c.addFieldError(field, "%v", err)
	}
}

func (c *checker) weights(weights []brconfig.Weight) {
	c.require(len(weights) <= maxTargets, "spec.effect.weights", "must have at most %d entries", maxTargets)
	kinds := []brconfig.TargetKind{brconfig.TargetRegion, brconfig.TargetDomain, brconfig.TargetVersion}
	seen := brset.New[brconfig.Reference]()
	fractions := make([]brunit.Amount, 0, len(weights))
	for i, w := range weights[:min(len(weights), maxTargets)] {
		field := fmt.Sprintf("spec.effect.weights[%d]", i)
		c.require(slices.Contains(kinds, w.Target()), field+".target", "must be region, domain or version")
		c.require(w.Target() == weights[0].Target(), field+".target", "must be %s, like the first target", weights[0].Target())
		c.require(seen.Add(brconfig.NewReference(brconfig.Kind(w.Target()), w.Name())), field+".name", "duplicate target %q", w.Name())
		c.name(field+".name", w.Name())
		c.fraction(field+".fraction", w.Fraction())
		fractions = append(fractions, w.Fraction())
	}
	c.exactFractions("spec.effect.weights", fractions)
}

// exactFractions requires fractions that brselector can apply exactly and that add up to 1.
func (c *checker) exactFractions(field string, fractions []brunit.Amount) {
	if _, err := brselector.NewSplitter(fractions, fractions); err != nil {
		c.addFieldError(field, "%v", err)
		return
	}
	sum := brunit.Amount{}.Rat()
	for _, f := range fractions {
		sum.Add(sum, f.Rat())
	}
	c.require(sum.Cmp(one.Rat()) == 0, field, "must add up to 1, got %s", sum.RatString())
}
