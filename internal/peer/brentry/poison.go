package brentry

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// PoisonListener receives the notices of poison requests.
type PoisonListener interface {
	// Receive processes a notice of another VM.
	Receive(notice brrequest.PoisonNotice)
}

type poisonServer struct {
	listener PoisonListener
}

// Tell passes the notice of another VM to the listener.
func (s *poisonServer) Tell(_ context.Context, message *brentrypb.PoisonNotice) (*brentrypb.PoisonReply, error) {
	notice, ok := decodeNotice(message)
	if !ok {
		return nil, twirp.InvalidArgumentError("fingerprint", "has the wrong length")
	}
	s.listener.Receive(notice.WithRelayed(message.GetRelay()))
	return &brentrypb.PoisonReply{}, nil
}

// decodeNotice returns false if the fingerprint has the wrong length.
func decodeNotice(message *brentrypb.PoisonNotice) (brrequest.PoisonNotice, bool) {
	fingerprint := brrequest.Fingerprint{}
	if len(message.GetFingerprint()) != len(fingerprint) {
		return brrequest.PoisonNotice{}, false
	}
	copy(fingerprint[:], message.GetFingerprint())
	switch {
	case message.GetLifted() && message.GetServer() != "":
		return brrequest.NewPoisonClearance(fingerprint, message.GetServer()), true
	case message.GetLifted():
		return brrequest.NewPoisonLift(fingerprint), true
	default:
		return brrequest.NewPoisonNotice(fingerprint, message.GetServer()), true
	}
}

func encodeNotice(notice brrequest.PoisonNotice) *brentrypb.PoisonNotice {
	fingerprint := notice.Fingerprint()
	return &brentrypb.PoisonNotice{
		Fingerprint: fingerprint[:],
		Server:      notice.Server(),
		Lifted:      notice.Lifted(),
		Relay:       notice.Relayed(),
	}
}

// WithPoison wraps a handler so that it also accepts notices of poison requests.
func WithPoison(next http.Handler, listener PoisonListener) http.Handler {
	mux := http.NewServeMux()
	server := brentrypb.NewPoisonServer(&poisonServer{listener: listener})
	mux.Handle(server.PathPrefix(), server)
	mux.Handle("/", next)
	return mux
}

// PoisonClient sends notices of poison requests to other VMs.
type PoisonClient struct {
	client *http.Client
}

// NewPoisonClient returns a PoisonClient over an HTTP client.
func NewPoisonClient(client *http.Client) *PoisonClient {
	return &PoisonClient{client: client}
}

// SendPoison sends a notice to the VM at host:port.
func (c *PoisonClient) SendPoison(ctx context.Context, address string, notice brrequest.PoisonNotice) error {
	_, err := brentrypb.NewPoisonProtobufClient("http://"+address, c.client).Tell(ctx, encodeNotice(notice))
	if err != nil {
		return errors.Errorf("send notice of poison request to %s: %w", address, err)
	}
	return nil
}
