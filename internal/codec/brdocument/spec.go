package brdocument

import (
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// emptySpec returns an empty spec for a kind, to decode into.
func emptySpec(kind brconfig.Kind) (specDocument, error) {
	switch kind {
	case brconfig.KindRegion:
		return &regionSpec{}, nil
	case brconfig.KindDomain:
		return &domainSpec{}, nil
	case brconfig.KindLink:
		return &linkSpec{}, nil
	case brconfig.KindSite:
		return &siteSpec{}, nil
	case brconfig.KindBlock:
		return &blockSpec{}, nil
	case brconfig.KindVM:
		return &vmSpec{}, nil
	case brconfig.KindOrganisation:
		return &organisationSpec{}, nil
	case brconfig.KindKey:
		return &keySpec{}, nil
	case brconfig.KindUnit:
		return &unitSpec{}, nil
	case brconfig.KindContract:
		return &contractSpec{}, nil
	case brconfig.KindService:
		return &serviceSpec{}, nil
	case brconfig.KindServer:
		return &serverSpec{}, nil
	case brconfig.KindRoute:
		return &routeSpec{}, nil
	case brconfig.KindTeam:
		return &teamSpec{}, nil
	case brconfig.KindToken:
		return &tokenSpec{}, nil
	case brconfig.KindSelector:
		return &selectorSpec{}, nil
	case brconfig.KindMove:
		return &moveSpec{}, nil
	case brconfig.KindDrain:
		return &drainSpec{}, nil
	default:
		return nil, errors.Errorf("kind %q does not exist", kind)
	}
}

// newSpecDocument converts a resource to its spec.
func newSpecDocument(resource brconfig.Resource) (specDocument, error) {
	switch r := resource.(type) {
	case brconfig.Region:
		return &regionSpec{Capacity: r.Capacity()}, nil
	case brconfig.Domain:
		return &domainSpec{Region: r.Region()}, nil
	case brconfig.Link:
		return &linkSpec{From: r.From(), To: r.To(), BytesPerSecond: r.BytesPerSecond(), Delay: r.Delay().String()}, nil
	case brconfig.Site:
		return &siteSpec{Domain: r.Domain()}, nil
	case brconfig.Block:
		return newBlockSpec(r), nil
	case brconfig.VM:
		return &vmSpec{Site: r.Site(), CallerAddress: r.CallerAddress(), PeerAddress: r.PeerAddress()}, nil
	case brconfig.Organisation:
		return &organisationSpec{Weight: r.Weight(), MaxKeyAge: r.MaxKeyAge().String()}, nil
	case brconfig.Key:
		return &keySpec{Organisation: r.Organisation(), Hash: r.Hash()}, nil
	case brconfig.Unit:
		return newUnitSpec(r), nil
	case brconfig.Contract:
		return newContractSpec(r), nil
	case brconfig.Service:
		return &serviceSpec{}, nil
	case brconfig.Server:
		return newServerSpec(r), nil
	case brconfig.Route:
		return newRouteSpec(r), nil
	case brconfig.Team:
		return &teamSpec{MaxObjects: r.MaxObjects(), WritesPerMinute: r.WritesPerMinute()}, nil
	case brconfig.Token:
		return &tokenSpec{Hash: r.Hash(), Role: string(r.Role())}, nil
	case brconfig.Selector:
		return newSelectorSpec(r), nil
	case brconfig.Move:
		return newMoveSpec(r), nil
	case brconfig.Drain:
		return newDrainSpec(r), nil
	default:
		return nil, errors.Errorf("kind %q has no encoding", resource.Kind())
	}
}

func parseDuration(field, text string, defaultValue time.Duration) (time.Duration, error) {
	if text == "" {
		return defaultValue, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("%s: %w", field, err)
	}
	if d < 0 {
		return 0, errors.Errorf("%s: must not be negative", field)
	}
	return d, nil
}

func parseTime(field, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, errors.Errorf("%s: %w", field, err)
	}
	return t.UTC(), nil
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339Nano)
}
