package brentry

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// Poisoning hears of poison requests.
type Poisoning interface {
	// Hear takes the notice of another VM.
	Hear(notice brrequest.PoisonNotice)
}

type poisonServer struct {
	poisoning Poisoning
}

// Tell hands a notice on.
func (s *poisonServer) Tell(_ context.Context, m *brentrypb.PoisonNotice) (*brentrypb.PoisonReply, error) {
	fingerprint := brrequest.Fingerprint{}
	if len(m.GetFingerprint()) != len(fingerprint) {
		return nil, twirp.InvalidArgumentError("fingerprint", "has another length")
	}
	copy(fingerprint[:], m.GetFingerprint())
	notice := brrequest.NewPoisonNotice(fingerprint, m.GetServer())
	if m.GetLifted() {
		notice = brrequest.NewPoisonLift(fingerprint)
	}
	s.poisoning.Hear(notice.WithRelayed(m.GetRelay()))
	return &brentrypb.PoisonReply{}, nil
}

// WithPoison returns the peers' front that also hears of poison requests.
func WithPoison(next http.Handler, poisoning Poisoning) http.Handler {
	mux := http.NewServeMux()
	poison := brentrypb.NewPoisonServer(&poisonServer{poisoning: poisoning})
	mux.Handle(poison.PathPrefix(), poison)
	mux.Handle("/", next)
	return mux
}

// Teller tells other VMs of poison requests.
type Teller struct {
	client *http.Client
}

// NewTeller returns a teller over a client.
func NewTeller(client *http.Client) *Teller {
	return &Teller{client: client}
}

// TellPoison gives a notice to the VM at an address, host:port.
func (t *Teller) TellPoison(ctx context.Context, address string, notice brrequest.PoisonNotice) error {
	fingerprint := notice.Fingerprint()
	_, err := brentrypb.NewPoisonProtobufClient("http://"+address, t.client).Tell(ctx, &brentrypb.PoisonNotice{
		Fingerprint: fingerprint[:],
		Server:      notice.Server(),
		Lifted:      notice.Lifted(),
		Relay:       notice.Relayed(),
	})
	if err != nil {
		return errors.Errorf("tell %s of poison request: %w", address, err)
	}
	return nil
}
