package brdocument

import "bergamotroad.example/bergamotroad/internal/model/brconfig"

type teamSpec struct {
	MaxObjects      int `json:"maxObjects,omitempty"`
	WritesPerMinute int `json:"writesPerMinute,omitempty"`
}

func (s *teamSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	team := brconfig.NewTeam(meta)
	if s.MaxObjects != 0 {
		team = team.WithMaxObjects(s.MaxObjects)
	}
	if s.WritesPerMinute != 0 {
		team = team.WithWritesPerMinute(s.WritesPerMinute)
	}
	return team, nil
}

type tokenSpec struct {
	Hash string `json:"hash"`
	Role string `json:"role"`
}

func (s *tokenSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewToken(meta, s.Hash, brconfig.Role(s.Role)), nil
}
