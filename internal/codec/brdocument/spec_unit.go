package brdocument

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

type unitSpec struct {
	DefaultWeight string            `json:"standard"`
	Weights       map[string]string `json:"weights,omitempty"`
}

func newUnitSpec(u brconfig.Unit) *unitSpec {
	spec := &unitSpec{DefaultWeight: u.DefaultWeight().String()}
	for route, weight := range u.Weights() {
		if spec.Weights == nil {
			spec.Weights = map[string]string{}
		}
		spec.Weights[route] = weight.String()
	}
	return spec
}

func (s *unitSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	defaultWeight, err := brunit.Parse(s.DefaultWeight)
	if err != nil {
		return nil, errors.Errorf("standard: %w", err)
	}
	u := brconfig.NewUnit(meta, defaultWeight)
	for route, text := range s.Weights {
		weight, err := brunit.Parse(text)
		if err != nil {
			return nil, errors.Errorf("weights.%s: %w", route, err)
		}
		u = u.WithWeight(route, weight)
	}
	return u, nil
}
