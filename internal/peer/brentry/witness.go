package brentry

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/duty/brattester"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// Witness records announced writes and attests to the configuration head of
// this VM.
type Witness interface {
	// Begin records the announcement of a write. It reports whether the
	// announcement was accepted.
	Begin(ctx context.Context, operation string) (bool, error)
	// End records that the outcome of an announced write is known, with the delta
	// that was committed.
	End(ctx context.Context, operation string, delta []byte) error
	// Attest returns the attestation of this VM.
	Attest(ctx context.Context) (brattester.Attestation, error)
}

type witnessServer struct {
	witness Witness
}

// WithWitness wraps a handler so that it also serves the calls to a witness.
func WithWitness(next http.Handler, witness Witness) http.Handler {
	mux := http.NewServeMux()
	server := brentrypb.NewWitnessingServer(&witnessServer{witness: witness})
	mux.Handle(server.PathPrefix(), server)
	mux.Handle("/", next)
	return mux
}

// Begin records the announcement of a write.
func (s *witnessServer) Begin(ctx context.Context, request *brentrypb.BeginRequest) (*brentrypb.BeginReply, error) {
	accepted, err := s.witness.Begin(ctx, request.GetOperation())
	if err != nil {
		return nil, errors.Errorf("begin write: %w", err)
	}
	return &brentrypb.BeginReply{Taken: accepted}, nil
}

// End records that the outcome of an announced write is known.
func (s *witnessServer) End(ctx context.Context, request *brentrypb.EndRequest) (*brentrypb.EndReply, error) {
	if err := s.witness.End(ctx, request.GetOperation(), request.GetDelta()); err != nil {
		return nil, errors.Errorf("end write: %w", err)
	}
	return &brentrypb.EndReply{}, nil
}

// Attest returns the attestation of this VM.
func (s *witnessServer) Attest(ctx context.Context, _ *brentrypb.AttestRequest) (*brentrypb.AttestReply, error) {
	attestation, err := s.witness.Attest(ctx)
	if err != nil {
		return nil, errors.Errorf("attest head: %w", err)
	}
	return &brentrypb.AttestReply{Quiet: attestation.Quiet(), Head: encodeHead(attestation.Head())}, nil
}

// WitnessClient calls other VMs as witnesses.
type WitnessClient struct {
	client *http.Client
}

// NewWitnessClient returns a WitnessClient over an HTTP client.
func NewWitnessClient(client *http.Client) *WitnessClient {
	return &WitnessClient{client: client}
}

// Begin announces a write to the VM at host:port. It reports whether the VM
// accepted the announcement.
func (c *WitnessClient) Begin(ctx context.Context, address, operation string) (bool, error) {
	reply, err := c.witness(address).Begin(ctx, &brentrypb.BeginRequest{Operation: operation})
	if err != nil {
		return false, errors.Errorf("announce write to %s: %w", address, err)
	}
	return reply.GetTaken(), nil
}

// End tells the VM at host:port that the outcome of a write is known.
func (c *WitnessClient) End(ctx context.Context, address, operation string, delta []byte) error {
	if _, err := c.witness(address).End(ctx, &brentrypb.EndRequest{Operation: operation, Delta: delta}); err != nil {
		return errors.Errorf("end write at %s: %w", address, err)
	}
	return nil
}

// Attest requests the attestation of the VM at host:port.
func (c *WitnessClient) Attest(ctx context.Context, address string) (brattester.Attestation, error) {
	reply, err := c.witness(address).Attest(ctx, &brentrypb.AttestRequest{})
	if err != nil {
		return brattester.Attestation{}, errors.Errorf("request attestation of %s: %w", address, err)
	}
	return brattester.NewAttestation(reply.GetQuiet(), decodeHead(reply.GetHead())), nil
}

func (c *WitnessClient) witness(address string) brentrypb.Witnessing {
	return brentrypb.NewWitnessingProtobufClient("http://"+address, c.client)
}
