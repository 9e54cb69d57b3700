package brdocument

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type siteSpec struct {
	Domain string `json:"domain"`
}

func (s *siteSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewSite(meta, s.Domain), nil
}
