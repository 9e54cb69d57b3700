package brdocument

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type keySpec struct {
	Organisation string `json:"organisation"`
	Hash         string `json:"hash"`
}

func (s *keySpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewKey(meta, s.Organisation, s.Hash), nil
}
