package brconfig

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brlabel"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// EffectKind is the type of an effect.
type EffectKind string

// The kinds of effects.
const (
	// EffectWeights divides the traffic between targets.
	EffectWeights EffectKind = "weights"
	// EffectCap limits the traffic to a fraction.
	EffectCap EffectKind = "cap"
	// EffectVersion sends the traffic to one version by a deadline.
	EffectVersion EffectKind = "version"
)

// TargetKind is the type of a traffic target.
type TargetKind string

// The kinds of targets.
const (
	TargetRegion  TargetKind = "region"
	TargetDomain  TargetKind = "domain"
	TargetVersion TargetKind = "version"
)

// Weight is the exact fraction of traffic that is sent to a target.
type Weight struct {
	target   TargetKind
	name     string
	fraction brunit.Amount
}

// NewWeight returns the weight of a target as a fraction of the traffic, 0 to 1.
func NewWeight(target TargetKind, name string, fraction brunit.Amount) Weight {
	return Weight{target: target, name: name, fraction: fraction}
}

// Target returns the type of the target.
func (w Weight) Target() TargetKind { return w.target }

// Name returns the name of the target.
func (w Weight) Name() string { return w.name }

// Fraction returns the fraction of traffic.
func (w Weight) Fraction() brunit.Amount { return w.fraction }

func (w Weight) equal(other Weight) bool {
	return w.target == other.target && w.name == other.name && w.fraction.Compare(other.fraction) == 0
}

// Effect is the traffic policy that a selector applies.
type Effect struct {
	kind     EffectKind
	weights  []Weight
	cap      brunit.Amount
	version  string
	deadline time.Time
}

// NewWeightsEffect returns an effect that divides the traffic between targets.
func NewWeightsEffect(weights ...Weight) Effect {
	return Effect{kind: EffectWeights, weights: slices.Clone(weights)}
}

// NewCapEffect returns an effect that limits the traffic to a fraction.
func NewCapEffect(fraction brunit.Amount) Effect {
	return Effect{kind: EffectCap, cap: fraction}
}

// NewVersionEffect returns an effect that sends all traffic to a version by the given time.
func NewVersionEffect(version string, deadline time.Time) Effect {
	return Effect{kind: EffectVersion, version: version, deadline: deadline}
}

// Kind returns the type of the effect.
func (e Effect) Kind() EffectKind { return e.kind }

// Weights returns the weights of the targets. The caller must not modify the slice.
func (e Effect) Weights() []Weight { return e.weights }

// Cap returns the maximum fraction of the traffic.
func (e Effect) Cap() brunit.Amount { return e.cap }

// Version returns the version that receives the traffic.
func (e Effect) Version() string { return e.version }

// Deadline returns the time by which the version receives the traffic.
func (e Effect) Deadline() time.Time { return e.deadline }

// Equal reports whether two effects are the same.
func (e Effect) Equal(other Effect) bool {
	return e.kind == other.kind &&
		slices.EqualFunc(e.weights, other.weights, Weight.equal) &&
		e.cap.Compare(other.cap) == 0 &&
		e.version == other.version &&
		e.deadline.Equal(other.deadline)
}

// Selector applies an effect to the traffic of all resources whose labels match.
type Selector struct {
	Meta
	selects    Kind
	expression brlabel.Expression
	priority   int
	effect     Effect
}

// NewSelector returns a selector for resources of a kind. If several selectors
// match a resource, the one with the highest priority applies for each kind of effect.
func NewSelector(meta Meta, selects Kind, expression brlabel.Expression, priority int, effect Effect) Selector {
	return Selector{Meta: meta, selects: selects, expression: expression, priority: priority, effect: effect}
}

// Kind returns KindSelector.
func (Selector) Kind() Kind { return KindSelector }

// References returns references to the regions and failure domains that are targets.
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

// Selects returns the kind of the selected resources.
func (s Selector) Selects() Kind { return s.selects }

// Expression returns the label expression that selected resources match.
func (s Selector) Expression() brlabel.Expression { return s.expression }

// Priority returns the priority; a higher value takes precedence.
func (s Selector) Priority() int { return s.priority }

// Effect returns the effect on the traffic of the selected resources.
func (s Selector) Effect() Effect { return s.effect }

// Matches reports whether the selector matches a resource. A selector of a team
// matches only resources of that team; one without a team matches those of all teams.
func (s Selector) Matches(resource Resource) bool {
	if s.Team() != "" && s.Team() != resource.Team() {
		return false
	}
	return resource.Kind() == s.selects && s.expression.Matches(resource.Labels())
}
