package brdocument

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

type moveSpec struct {
	Service  string `json:"service"`
	From     string `json:"from"`
	To       string `json:"to"`
	Cap      string `json:"cap"`
	Start    string `json:"start,omitempty"`
	Deadline string `json:"by"`
	State    string `json:"state,omitempty"`
	Step     int    `json:"step,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

func newMoveSpec(m brconfig.Move) *moveSpec {
	return &moveSpec{
		Service:  m.Service(),
		From:     m.From(),
		To:       m.To(),
		Cap:      m.Cap().String(),
		Start:    formatTime(m.Start()),
		Deadline: formatTime(m.Deadline()),
		State:    string(m.State()),
		Step:     m.Step(),
		Reason:   m.Reason(),
	}
}

func (s *moveSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	fraction, err := brunit.Parse(s.Cap)
	if err != nil {
		return nil, errors.Errorf("cap: %w", err)
	}
	start, err := parseTime("start", s.Start)
	if err != nil {
		return nil, err
	}
	deadline, err := parseTime("by", s.Deadline)
	if err != nil {
		return nil, err
	}
	move := brconfig.NewMove(meta, s.Service, s.From, s.To).WithCap(fraction).WithTimes(start, deadline)
	if s.State != "" {
		move = move.WithState(brconfig.MoveState(s.State), s.Step, s.Reason)
	}
	return move, nil
}

type drainSpec struct {
	Target   referenceDocument `json:"target"`
	Start    string            `json:"at,omitempty"`
	Deadline string            `json:"by,omitempty"`
}

func newDrainSpec(d brconfig.Drain) *drainSpec {
	return &drainSpec{
		Target:   referenceDocument{Kind: string(d.Target().Kind()), Name: d.Target().Name()},
		Start:    formatTime(d.Start()),
		Deadline: formatTime(d.Deadline()),
	}
}

func (s *drainSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	start, err := parseTime("at", s.Start)
	if err != nil {
		return nil, err
	}
	deadline, err := parseTime("by", s.Deadline)
	if err != nil {
		return nil, err
	}
	target := brconfig.NewReference(brconfig.Kind(s.Target.Kind), s.Target.Name)
	return brconfig.NewDrain(meta, target, start, deadline), nil
}
