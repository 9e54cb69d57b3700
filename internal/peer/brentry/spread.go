// Package brentry talks to other entry VMs, by twirp over HTTP.
//
// The server side decodes, calls a service and encodes; the client side is an
// interface with typed results. The generated messages of package brentrypb
// are used here only.
//
// # Usage
//
//	handler := brentry.NewHandler(spreading, timeline)
//	peer := brentry.NewPeer(httpClient, "http://10.0.1.7:7400")
//	generation, err := peer.Wait(ctx, 7, time.Second)
package brentry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/duty/brspreading"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// maxPatience bounds how long another VM may wait here.
const maxPatience = 30 * time.Second

// Spreading holds the configuration of this VM.
type Spreading interface {
	// State returns what the VM holds.
	State(ctx context.Context) (brspreading.State, error)
	// Wait returns what the VM holds once its generation is above the given
	// one, or after the patience.
	Wait(ctx context.Context, above uint64, patience time.Duration) (brspreading.State, error)
}

type spreadServer struct {
	spreading Spreading
}

// Wait answers when the VM's generation is above the caller's.
func (s *spreadServer) Wait(ctx context.Context, request *brentrypb.WaitRequest) (*brentrypb.WaitReply, error) {
	patience := time.Duration(request.GetPatienceMilliseconds()) * time.Millisecond
	state, err := s.spreading.Wait(ctx, request.GetGeneration(), min(patience, maxPatience))
	if err != nil {
		return nil, errors.Errorf("wait for generation: %w", err)
	}
	return &brentrypb.WaitReply{Generation: state.Head().Generation()}, nil
}

// Fetch returns the deltas after a generation.
func (s *spreadServer) Fetch(ctx context.Context, request *brentrypb.FetchRequest) (*brentrypb.FetchReply, error) {
	state, err := s.spreading.State(ctx)
	if err != nil {
		return nil, errors.Errorf("fetch deltas: %w", err)
	}
	return &brentrypb.FetchReply{Deltas: state.DeltasAfter(request.GetAfterGeneration())}, nil
}

// Wait returns the generation of the other VM once it is above the given one,
// or after the patience.
func (p *Peer) Wait(ctx context.Context, above uint64, patience time.Duration) (uint64, error) {
	reply, err := p.spread.Wait(ctx, &brentrypb.WaitRequest{
		Generation:           above,
		PatienceMilliseconds: uint32(patience.Milliseconds()),
	})
	if err != nil {
		return 0, errors.Errorf("wait for generation of %s: %w", p.address, err)
	}
	return reply.GetGeneration(), nil
}

// Fetch returns the other VM's encoded deltas after a generation.
func (p *Peer) Fetch(ctx context.Context, after uint64) ([][]byte, error) {
	reply, err := p.spread.Fetch(ctx, &brentrypb.FetchRequest{AfterGeneration: after})
	if err != nil {
		return nil, errors.Errorf("fetch deltas of %s: %w", p.address, err)
	}
	return reply.GetDeltas(), nil
}
