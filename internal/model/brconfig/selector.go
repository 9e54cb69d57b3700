package brconfig

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brlabel"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// EffectKind names what a selector decides.
type EffectKind string

// The kinds of effects.
const (
	// EffectWeights says where traffic goes.
	EffectWeights EffectKind = "weights"
	// EffectCap says how much of the traffic may go.
	EffectCap EffectKind = "cap"
	// EffectVersion says which version carries the traffic, by when.
	EffectVersion EffectKind = "version"
)

// TargetKind names what a weight sends traffic to.
type TargetKind string

// The kinds of targets.
const (
	TargetRegion  TargetKind = "region"
	TargetDomain  TargetKind = "domain"
	TargetVersion TargetKind = "version"
)

// Weight is the exact fraction of traffic that goes to a target.
type Weight struct {
	target   TargetKind
	name     string
	fraction brunit.Amount
}

// NewWeight returns the fraction of traffic, 0 to 1, that goes to a target.
func NewWeight(target TargetKind, name string, fraction brunit.Amount) Weight {
	return Weight{target: target, name: name, fraction: fraction}
}

// Target returns what kind of target it is.
func (w Weight) Target() TargetKind { return w.target }

// Name returns the name of the target.
func (w Weight) Name() string { return w.name }

// Fraction returns the fraction of traffic.
func (w Weight) Fraction() brunit.Amount { return w.fraction }

func (w Weight) equal(other Weight) bool {
	return w.target == other.target && w.name == other.name && w.fraction.Compare(other.fraction) == 0
}

// Effect is what a selector does to the traffic it selects.
type Effect struct {
	kind    EffectKind
	weights []Weight
	cap     brunit.Amount
	version string
	by      time.Time
}

// NewWeightsEffect returns the effect that divides traffic between targets.
func NewWeightsEffect(weights ...Weight) Effect {
	return Effect{kind: EffectWeights, weights: slices.Clone(weights)}
}

// NewCapEffect returns the effect that lets through a fraction of the traffic.
func NewCapEffect(fraction brunit.Amount) Effect {
	return Effect{kind: EffectCap, cap: fraction}
}

// NewVersionEffect returns the effect that has a version carry the traffic from a time on.
func NewVersionEffect(version string, by time.Time) Effect {
	return Effect{kind: EffectVersion, version: version, by: by}
}

// Kind returns what the effect decides.
func (e Effect) Kind() EffectKind { return e.kind }

// Weights returns the fractions by target. The caller must not change the slice.
func (e Effect) Weights() []Weight { return e.weights }

// Cap returns the fraction of the traffic that may go.
func (e Effect) Cap() brunit.Amount { return e.cap }

// Version returns the version that carries the traffic.
func (e Effect) Version() string { return e.version }

// By returns the time by which the version carries the traffic.
func (e Effect) By() time.Time { return e.by }

// Equal reports whether two effects decide the same.
func (e Effect) Equal(other Effect) bool {
	return e.kind == other.kind &&
		slices.EqualFunc(e.weights, other.weights, Weight.equal) &&
		e.cap.Compare(other.cap) == 0 &&
		e.version == other.version &&
		e.by.Equal(other.by)
}

// Selector says what happens to the traffic of the resources whose labels match.
type Selector struct {
	Meta
	selects    Kind
	expression brlabel.Expression
	priority   int
	effect     Effect
}

// NewSelector returns a selector of resources of a kind. Of the selectors that
// match a resource, the one of the highest priority decides for each kind of effect.
func NewSelector(meta Meta, selects Kind, expression brlabel.Expression, priority int, effect Effect) Selector {
	return Selector{Meta: meta, selects: selects, expression: expression, priority: priority, effect: effect}
}

// Kind returns KindSelector.
func (Selector) Kind() Kind { return KindSelector }

// References returns the regions and failure domains that traffic goes to.
func (s Selector) References() []Reference {
	references := []Reference{}
	for _, w := range s.effect.weights {
		switch w.target {
		case TargetRegion:
			references = append(references, NewReference(KindRegion, w.name))
		case TargetDomain:
			references = append(references, NewReference(KindDomain, w.name))
		case TargetVersion:
		}
	}
	return references
}

// Selects returns the kind of the resources that are selected.
func (s Selector) Selects() Kind { return s.selects }

// Expression returns the condition on their labels.
func (s Selector) Expression() brlabel.Expression { return s.expression }

// Priority returns the priority; higher goes first.
func (s Selector) Priority() int { return s.priority }

// Effect returns what happens to their traffic.
func (s Selector) Effect() Effect { return s.effect }

// Matches reports whether the selector selects a resource. A team's selector
// selects resources of that team only, the platform's those of all teams.
func (s Selector) Matches(resource Resource) bool {
	if s.Team() != "" && s.Team() != resource.Team() {
		return false
	}
	return resource.Kind() == s.selects && s.expression.Matches(resource.Labels())
}
