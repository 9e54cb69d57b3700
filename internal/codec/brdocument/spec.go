package brdocument

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// newSpec returns an empty spec of a kind.
func newSpec(kind brconfig.Kind) (specDocument, error) {
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
	default:
		return nil, errors.Errorf("kind %q does not exist", kind)
	}
}

// specOf returns the spec of a resource.
func specOf(resource brconfig.Resource) (specDocument, error) {
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
		return blockSpecOf(r), nil
	case brconfig.VM:
		return &vmSpec{Site: r.Site(), CallerAddress: r.CallerAddress(), PeerAddress: r.PeerAddress()}, nil
	case brconfig.Organisation:
		return &organisationSpec{Weight: r.Weight(), KeyAge: r.KeyAge().String()}, nil
	case brconfig.Key:
		return &keySpec{Organisation: r.Organisation(), Hash: r.Hash()}, nil
	case brconfig.Unit:
		return unitSpecOf(r), nil
	case brconfig.Contract:
		return contractSpecOf(r), nil
	case brconfig.Service:
		return &serviceSpec{}, nil
	case brconfig.Server:
		return serverSpecOf(r), nil
	case brconfig.Route:
		return routeSpecOf(r), nil
	default:
		return nil, errors.Errorf("kind %q has no encoding", resource.Kind())
	}
}

type regionSpec struct {
	Capacity int `json:"capacity,omitempty"`
}

func (s *regionSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewRegion(meta).WithCapacity(s.Capacity), nil
}

type domainSpec struct {
	Region string `json:"region"`
}

func (s *domainSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewDomain(meta, s.Region), nil
}

type linkSpec struct {
	From           string `json:"from"`
	To             string `json:"to"`
	BytesPerSecond int64  `json:"bytesPerSecond"`
	Delay          string `json:"delay"`
}

func (s *linkSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	delay, err := duration("delay", s.Delay, 0)
	if err != nil {
		return nil, err
	}
	return brconfig.NewLink(meta, s.From, s.To, s.BytesPerSecond, delay), nil
}

type siteSpec struct {
	Domain string `json:"domain"`
}

func (s *siteSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewSite(meta, s.Domain), nil
}

type distanceSpec struct {
	Site      string `json:"site"`
	RoundTrip string `json:"roundTrip"`
}

type blockSpec struct {
	Prefix    string         `json:"prefix"`
	Distances []distanceSpec `json:"distances"`
}

func blockSpecOf(b brconfig.Block) *blockSpec {
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
		roundTrip, err := duration("distances.roundTrip", d.RoundTrip, 0)
		if err != nil {
			return nil, err
		}
		distances = append(distances, brconfig.NewDistance(d.Site, roundTrip))
	}
	return brconfig.NewBlock(meta, prefix, distances), nil
}

type vmSpec struct {
	Site          string `json:"site"`
	CallerAddress string `json:"callerAddress"`
	PeerAddress   string `json:"peerAddress"`
}

func (s *vmSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewVM(meta, s.Site, s.CallerAddress, s.PeerAddress), nil
}

type organisationSpec struct {
	Weight int    `json:"weight,omitempty"`
	KeyAge string `json:"keyAge,omitempty"`
}

func (s *organisationSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	o := brconfig.NewOrganisation(meta)
	if s.Weight < 0 {
		return nil, errors.New("weight: must not be negative")
	}
	if s.Weight > 0 {
		o = o.WithWeight(s.Weight)
	}
	age, err := duration("keyAge", s.KeyAge, o.KeyAge())
	if err != nil {
		return nil, err
	}
	return o.WithKeyAge(age), nil
}

type keySpec struct {
	Organisation string `json:"organisation"`
	Hash         string `json:"hash"`
}

func (s *keySpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewKey(meta, s.Organisation, s.Hash), nil
}

type unitSpec struct {
	Standard string            `json:"standard"`
	Weights  map[string]string `json:"weights,omitempty"`
}

func unitSpecOf(u brconfig.Unit) *unitSpec {
	spec := &unitSpec{Standard: u.Standard().String()}
	for route, weight := range u.Weights() {
		if spec.Weights == nil {
			spec.Weights = map[string]string{}
		}
		spec.Weights[route] = weight.String()
	}
	return spec
}

func (s *unitSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	standard, err := brunit.Parse(s.Standard)
	if err != nil {
		return nil, errors.Errorf("standard: %w", err)
	}
	u := brconfig.NewUnit(meta, standard)
	for route, text := range s.Weights {
		weight, err := brunit.Parse(text)
		if err != nil {
			return nil, errors.Errorf("weights.%s: %w", route, err)
		}
		u = u.WithWeight(route, weight)
	}
	return u, nil
}

type contractSpec struct {
	Organisation string `json:"organisation"`
	Unit         string `json:"unit"`
	Rate         string `json:"rate"`
	Period       string `json:"period"`
	Burst        string `json:"burst"`
}

func contractSpecOf(c brconfig.Contract) *contractSpec {
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
	period, err := duration("period", s.Period, 0)
	if err != nil {
		return nil, err
	}
	if period <= 0 {
		return nil, errors.New("period: must be more than 0")
	}
	return brconfig.NewContract(meta, s.Organisation, s.Unit, rate, period, burst), nil
}

type serviceSpec struct{}

func (*serviceSpec) resource(meta brconfig.Meta) (brconfig.Resource, error) {
	return brconfig.NewService(meta), nil
}

type serverSpec struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Version string `json:"version,omitempty"`
	State   string `json:"state,omitempty"`
}

func serverSpecOf(s brconfig.Server) *serverSpec {
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

type routeSpec struct {
	Service    string   `json:"service"`
	PathPrefix string   `json:"pathPrefix"`
	Methods    []string `json:"methods,omitempty"`
	Repeat     string   `json:"repeat,omitempty"`
	Open       bool     `json:"open,omitempty"`
	Timeout    string   `json:"timeout,omitempty"`
	MaxBody    int64    `json:"maxBody,omitempty"`
}

func routeSpecOf(r brconfig.Route) *routeSpec {
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
	timeout, err := duration("timeout", s.Timeout, brconfig.DefaultRouteTimeout)
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

func duration(field, text string, standard time.Duration) (time.Duration, error) {
	if text == "" {
		return standard, nil
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
