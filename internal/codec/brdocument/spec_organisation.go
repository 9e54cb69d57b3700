package brdocument

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type organisationSpec struct {
	Weight    int    `json:"weight,omitempty"`
	MaxKeyAge string `json:"keyAge,omitempty"`
}

func (s *organisationSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	o := brconfig.NewOrganisation(meta)
	if s.Weight < 0 {
		return nil, errors.New("weight: must not be negative")
	}
	if s.Weight > 0 {
		o = o.WithWeight(s.Weight)
	}
	age, err := parseDuration("keyAge", s.MaxKeyAge, o.MaxKeyAge())
	if err != nil {
		return nil, err
	}
	return o.WithMaxKeyAge(age), nil
}
