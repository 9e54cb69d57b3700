package brdocument

import (
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

type contractSpec struct {
	Organisation string `json:"organisation"`
	Unit         string `json:"unit"`
	Rate         string `json:"rate"`
	Period       string `json:"period"`
	Burst        string `json:"burst"`
}

func newContractSpec(c brconfig.Contract) *contractSpec {
	return &contractSpec{
		Organisation: c.Organisation(),
		Unit:         c.Unit(),
		Rate:         c.Rate().String(),
		Period:       c.Period().String(),
		Burst:        c.Burst().String(),
	}
}

func (s *contractSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	rate, err := brunit.Parse(s.Rate)
	if err != nil {
		return nil, errors.Errorf("rate: %w", err)
	}
	burst, err := brunit.Parse(s.Burst)
	if err != nil {
		return nil, errors.Errorf("burst: %w", err)
	}
	period, err := parseDuration("period", s.Period, 0)
	if err != nil {
		return nil, err
	}
	if period <= 0 {
		return nil, errors.New("period: must be more than 0")
	}
	return brconfig.NewContract(meta, s.Organisation, s.Unit, rate, period, burst), nil
}
