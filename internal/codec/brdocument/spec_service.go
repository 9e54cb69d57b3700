package brdocument

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type serviceSpec struct{}

func (*serviceSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewService(meta), nil
}
