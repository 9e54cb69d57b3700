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
	notice, ok := noticeOf(m)
	if !ok {
		return nil, twirp.InvalidArgumentError("fingerprint", "has another length")
	}
	s.poisoning.Hear(notice.WithRelayed(m.GetRelay()))
	return &brentrypb.PoisonReply{}, nil
}

// noticeOf returns false where the fingerprint has another length.
func noticeOf(m *brentrypb.PoisonNotice) (brrequest.PoisonNotice, bool) {
	fingerprint := brrequest.Fingerprint{}
	if len(m.GetFingerprint()) != len(fingerprint) {
		return brrequest.PoisonNotice{}, false
	}
	copy(fingerprint[:], m.GetFingerprint())
	switch {
	case m.GetLifted() && m.GetServer() != "":
		return brrequest.NewPoisonAcquittal(fingerprint, m.GetServer()), true
	case m.GetLifted():
		return brrequest.NewPoisonLift(fingerprint), true
	default:
		return brrequest.NewPoisonNotice(fingerprint, m.GetServer()), true
	}
}

func noticeMessage(notice brrequest.PoisonNotice) *brentrypb.PoisonNotice {
	fingerprint := notice.Fingerprint()
	return &brentrypb.PoisonNotice{
		Fingerprint: fingerprint[:],
		Server:      notice.Server(),
		Lifted:      notice.Lifted(),
		Relay:       notice.Relayed(),
	}
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
	_, err := brentrypb.NewPoisonProtobufClient("http://"+address, t.client).Tell(ctx, noticeMessage(notice))
	if err != nil {
		return errors.Errorf("tell %s of poison request: %w", address, err)
	}
	return nil
}
