package brdocument

import (
	"net/netip"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

type distanceSpec struct {
	Site      string `json:"site"`
	RoundTrip string `json:"roundTrip"`
}

type blockSpec struct {
	Prefix    string         `json:"prefix"`
	Distances []distanceSpec `json:"distances"`
}

func newBlockSpec(b brconfig.Block) *blockSpec {
	spec := &blockSpec{Prefix: b.Prefix().String()}
	for _, d := range b.Distances() {
		spec.Distances = append(spec.Distances, distanceSpec{Site: d.Site(), RoundTrip: d.RoundTrip().String()})
	}
	return spec
}

func (s *blockSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	prefix, err := netip.ParsePrefix(s.Prefix)
	if err != nil {
		return nil, errors.Errorf("prefix: %w", err)
	}
	distances := make([]brconfig.Distance, 0, len(s.Distances))
	for _, d := range s.Distances {
		roundTrip, err := parseDuration("distances.roundTrip", d.RoundTrip, 0)
		if err != nil {
			return nil, err
		}
		distances = append(distances, brconfig.NewDistance(d.Site, roundTrip))
	}
	return brconfig.NewBlock(meta, prefix, distances), nil
}
