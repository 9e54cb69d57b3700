package brdocument

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type vmSpec struct {
	Site          string `json:"site"`
	CallerAddress string `json:"callerAddress"`
	PeerAddress   string `json:"peerAddress"`
}

func (s *vmSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewVM(meta, s.Site, s.CallerAddress, s.PeerAddress), nil
}
