package brdocument

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type linkSpec struct {
	From           string `json:"from"`
	To             string `json:"to"`
	BytesPerSecond int64  `json:"bytesPerSecond"`
	Delay          string `json:"delay"`
}

func (s *linkSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	delay, err := parseDuration("delay", s.Delay, 0)
	if err != nil {
		return nil, err
	}
	return brconfig.NewLink(meta, s.From, s.To, s.BytesPerSecond, delay), nil
}
