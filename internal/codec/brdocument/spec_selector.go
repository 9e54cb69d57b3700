package brdocument

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlabel"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

type requirementSpec struct {
	Key      string   `json:"key"`
	Operator string   `json:"operator"`
	Values   []string `json:"values,omitempty"`
}

type weightSpec struct {
	Target   string `json:"target"`
	Name     string `json:"name"`
	Fraction string `json:"fraction"`
}

type effectSpec struct {
	Weights  []weightSpec `json:"weights,omitempty"`
	Cap      string       `json:"cap,omitempty"`
	Version  string       `json:"version,omitempty"`
	Deadline string       `json:"by,omitempty"`
}

type selectorSpec struct {
	Selects  string            `json:"selects"`
	Where    []requirementSpec `json:"where,omitempty"`
	Priority int               `json:"priority,omitempty"`
	Effect   effectSpec        `json:"effect"`
}

func newSelectorSpec(s brconfig.Selector) *selectorSpec {
	spec := &selectorSpec{Selects: string(s.Selects()), Priority: s.Priority(), Effect: newEffectSpec(s.Effect())}
	for _, r := range s.Expression().Requirements() {
		spec.Where = append(spec.Where, requirementSpec{Key: r.Key(), Operator: string(r.Operator()), Values: r.Values()})
	}
	return spec
}

func newEffectSpec(e brconfig.Effect) effectSpec {
	switch e.Kind() {
	case brconfig.EffectWeights:
		spec := effectSpec{}
		for _, w := range e.Weights() {
			spec.Weights = append(spec.Weights, weightSpec{Target: string(w.Target()), Name: w.Name(), Fraction: w.Fraction().String()})
		}
		return spec
	case brconfig.EffectCap:
		return effectSpec{Cap: e.Cap().String()}
	default:
		return effectSpec{Version: e.Version(), Deadline: formatTime(e.Deadline())}
	}
}

func (s *selectorSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	effect, err := s.Effect.effect()
	if err != nil {
		return nil, errors.Errorf("effect.%w", err)
	}
	requirements := make([]brlabel.Requirement, 0, len(s.Where))
	for _, r := range s.Where {
		requirements = append(requirements, brlabel.NewRequirement(r.Key, brlabel.Operator(r.Operator), r.Values...))
	}
	expression := brlabel.NewExpression(requirements...)
	return brconfig.NewSelector(meta, brconfig.Kind(s.Selects), expression, s.Priority, effect), nil
}

func (e effectSpec) effect() (brconfig.Effect, error) {
	hasWeights, hasCap, hasVersion := len(e.Weights) > 0, e.Cap != "", e.Version != ""
	switch {
	case hasWeights && !hasCap && !hasVersion:
		return e.weightsEffect()
	case hasCap && !hasWeights && !hasVersion:
		fraction, err := brunit.Parse(e.Cap)
		if err != nil {
			return brconfig.Effect{}, errors.Errorf("cap: %w", err)
		}
		return brconfig.NewCapEffect(fraction), nil
	case hasVersion && !hasWeights && !hasCap:
		deadline, err := parseTime("by", e.Deadline)
		if err != nil {
			return brconfig.Effect{}, err
		}
		return brconfig.NewVersionEffect(e.Version, deadline), nil
	default:
		return brconfig.Effect{}, errors.New("weights, cap, version: exactly one must be given")
	}
}

func (e effectSpec) weightsEffect() (brconfig.Effect, error) {
	weights := make([]brconfig.Weight, 0, len(e.Weights))
	for i, w := range e.Weights {
		fraction, err := brunit.Parse(w.Fraction)
		if err != nil {
			return brconfig.Effect{}, errors.Errorf("weights[%d].fraction: %w", i, err)
		}
		weights = append(weights, brconfig.NewWeight(brconfig.TargetKind(w.Target), w.Name, fraction))
	}
	return brconfig.NewWeightsEffect(weights...), nil
}
