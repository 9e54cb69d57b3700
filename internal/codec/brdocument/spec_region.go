package brdocument

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type regionSpec struct {
	Capacity int `json:"capacity,omitempty"`
}

func (s *regionSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewRegion(meta).WithCapacity(s.Capacity), nil
}
