package brdocument

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type domainSpec struct {
	Region string `json:"region"`
}

func (s *domainSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewDomain(meta, s.Region), nil
}
