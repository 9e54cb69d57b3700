package brdocument

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type routeSpec struct {
	Service    string   `json:"service"`
	PathPrefix string   `json:"pathPrefix"`
	Methods    []string `json:"methods,omitempty"`
	Repeat     string   `json:"repeat,omitempty"`
	Open       bool     `json:"open,omitempty"`
	Timeout    string   `json:"timeout,omitempty"`
	MaxBody    int64    `json:"maxBody,omitempty"`
}

func newRouteSpec(r brconfig.Route) *routeSpec {
	return &routeSpec{
		Service:    r.Service(),
		PathPrefix: r.PathPrefix(),
		Methods:    r.Methods(),
		Repeat:     string(r.Repeat()),
		Open:       r.Open(),
		Timeout:    r.Timeout().String(),
		MaxBody:    r.MaxBody(),
	}
}

func (s *routeSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	timeout, err := parseDuration("timeout", s.Timeout, brconfig.DefaultRouteTimeout)
	if err != nil {
		return nil, err
	}
	route := brconfig.NewRoute(meta, s.Service, s.PathPrefix).
		WithMethods(s.Methods...).
		WithOpen(s.Open).
		WithTimeout(timeout)
	if s.MaxBody > 0 {
		route = route.WithMaxBody(s.MaxBody)
	}
	switch repeat := brconfig.Repeat(s.Repeat); repeat {
	case "":
		return route, nil
	case brconfig.RepeatAny, brconfig.RepeatOnce:
		return route.WithRepeat(repeat), nil
	default:
		return nil, errors.Errorf("repeat: %q is neither %q nor %q", s.Repeat, brconfig.RepeatAny, brconfig.RepeatOnce)
	}
}
