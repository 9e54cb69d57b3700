package brdocument

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type serverSpec struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Version string `json:"version,omitempty"`
	State   string `json:"state,omitempty"`
}

func newServerSpec(s brconfig.Server) *serverSpec {
	return &serverSpec{
		Service: s.Service(),
		Domain:  s.Domain(),
		Address: s.Address(),
		Slots:   s.Slots(),
		Version: s.Version(),
		State:   string(s.State()),
	}
}

func (s *serverSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	if s.Slots < 1 {
		return nil, errors.New("slots: must be at least 1")
	}
	server := brconfig.NewServer(meta, s.Service, s.Domain, s.Address, s.Slots).WithVersion(s.Version)
	switch state := brconfig.ServerState(s.State); state {
	case "":
		return server, nil
	case brconfig.ServerServing, brconfig.ServerLeaving:
		return server.WithState(state), nil
	default:
		return nil, errors.Errorf("state: %q is neither %q nor %q", s.State, brconfig.ServerServing, brconfig.ServerLeaving)
	}
}
