// Package brentry implements the protocol between entry VMs: twirp over HTTP,
// and plain HTTP for forwarded requests, whose bodies are streamed.
//
// The server side decodes a request, calls a service and encodes the response;
// the client side has methods with typed results. The generated messages of
// package brentrypb are used only here. Each request and each response carries
// the configuration generation of its sender in a header field.
//
// # Usage
//
//	handler := brentry.WithGeneration("vm-1", generations, brentry.NewHandler(clock, source, timeline))
//	dialer := brentry.NewDialer(&http.Client{Transport: brentry.NewTransport("vm-1", generations, http.DefaultTransport)})
//	response, err := dialer.Dial("10.0.1.7:7400").Wait(ctx, 7, time.Second)
package brentry

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/duty/brfollower"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// maxWait bounds the time for which a call of another VM may be held.
const maxWait = 30 * time.Second

// ConfigurationSource provides the configuration of this VM.
type ConfigurationSource interface {
	// State returns the current configuration state.
	State(ctx context.Context) (brdistributor.State, error)
	// Wait returns the configuration state once its generation is above the given
	// one, or the current state once the timeout has passed.
	Wait(ctx context.Context, above uint64, timeout time.Duration) (brdistributor.State, error)
}

type spreadServer struct {
	clock  brclock.Clock
	source ConfigurationSource
	states pinnedStates
}

// Wait returns the head once the VM's generation is above the caller's, or the
// current head once the caller's timeout or maxWait has passed.
func (s *spreadServer) Wait(ctx context.Context, request *brentrypb.WaitRequest) (*brentrypb.WaitReply, error) {
	timeout := time.Duration(request.GetPatienceMilliseconds()) * time.Millisecond
	received := s.clock.Now()
	state, err := s.source.Wait(ctx, request.GetGeneration(), min(timeout, maxWait))
	if err != nil {
		return nil, errors.Errorf("wait for generation: %w", err)
	}
	now := s.clock.Now()
	reply := &brentrypb.WaitReply{
		Generation:       state.Head().Generation(),
		Head:             encodeHead(state.Head()),
		HeldMilliseconds: uint32(now.Sub(received).Milliseconds()),
		Confirmed:        !state.Confirmed().IsZero(),
	}
	if reply.Confirmed {
		// Rounded up, so that the confirmation does not look newer than it is.
		reply.AgeMilliseconds = uint64(max(0, now.Sub(state.Confirmed()).Milliseconds()+1))
	}
	return reply, nil
}

// Fetch returns the deltas after a generation.
func (s *spreadServer) Fetch(ctx context.Context, request *brentrypb.FetchRequest) (*brentrypb.FetchReply, error) {
	state, err := s.source.State(ctx)
	if err != nil {
		return nil, errors.Errorf("fetch deltas: %w", err)
	}
	after := request.GetAfterGeneration()
	return &brentrypb.FetchReply{Deltas: state.DeltasAfter(after), TooOld: !state.Covers(after)}, nil
}

// FetchPiece returns a piece of a snapshot.
func (s *spreadServer) FetchPiece(ctx context.Context, request *brentrypb.FetchPieceRequest) (*brentrypb.FetchPieceReply, error) {
	state, err := s.pinned(ctx, request.GetGeneration())
	if err != nil {
		return nil, err
	}
	after := brconfig.NewReference(brconfig.Kind(request.GetKind()), request.GetName())
	piece, err := brdocument.EncodePiece(state.Snapshot(), after)
	if err != nil {
		return nil, errors.Errorf("encode piece of snapshot: %w", err)
	}
	return &brentrypb.FetchPieceReply{
		Head:      encodeHead(state.Head()),
		Resources: piece.Data(),
		Digest:    brdocument.Digest(piece.Data()),
		Kind:      string(piece.Last().Kind()),
		Name:      piece.Last().Name(),
		More:      piece.More(),
	}, nil
}

// pinned returns the state that a fetch of a snapshot began with, so that all
// pieces are of one generation. A generation of 0 begins a fetch.
func (s *spreadServer) pinned(ctx context.Context, generation uint64) (brdistributor.State, error) {
	if generation > 0 {
		state, ok := s.states.get(generation).Get()
		if !ok {
			return brdistributor.State{}, errors.Errorf("snapshot of generation %d is no longer cached", generation)
		}
		return state, nil
	}
	state, err := s.source.State(ctx)
	if err != nil {
		return brdistributor.State{}, errors.Errorf("read snapshot: %w", err)
	}
	s.states.add(state)
	return state, nil
}

// Wait returns the head of the other VM once its generation is above the given
// one, or its current head once the timeout has passed.
func (p *Peer) Wait(ctx context.Context, above uint64, timeout time.Duration) (brfollower.PollResponse, error) {
	reply, err := p.spread.Wait(ctx, &brentrypb.WaitRequest{
		Generation:           above,
		PatienceMilliseconds: uint32(timeout.Milliseconds()),
	})
	if err != nil {
		return brfollower.PollResponse{}, errors.Errorf("wait for generation of %s: %w", p.address, err)
	}
	held := time.Duration(reply.GetHeldMilliseconds()) * time.Millisecond
	age := time.Duration(min(reply.GetAgeMilliseconds(), math.MaxInt32)) * time.Millisecond
	return brfollower.NewPollResponse(decodeHead(reply.GetHead()), held, broption.Of(age, reply.GetConfirmed())), nil
}

// Fetch returns the other VM's encoded deltas after a generation. The second
// result is false if the other VM no longer has deltas that far back.
func (p *Peer) Fetch(ctx context.Context, after uint64) ([][]byte, bool, error) {
	reply, err := p.spread.Fetch(ctx, &brentrypb.FetchRequest{AfterGeneration: after})
	if err != nil {
		return nil, false, errors.Errorf("fetch deltas of %s: %w", p.address, err)
	}
	return reply.GetDeltas(), !reply.GetTooOld(), nil
}

// FetchPiece returns the piece of the other VM's snapshot that follows a
// resource. A generation of 0 begins a fetch.
func (p *Peer) FetchPiece(ctx context.Context, generation uint64, after brconfig.Reference) (brfollower.SnapshotPiece, error) {
	reply, err := p.spread.FetchPiece(ctx, &brentrypb.FetchPieceRequest{
		Generation: generation,
		Kind:       string(after.Kind()),
		Name:       after.Name(),
	})
	if err != nil {
		return brfollower.SnapshotPiece{}, errors.Errorf("fetch piece of snapshot of %s: %w", p.address, err)
	}
	if brdocument.Digest(reply.GetResources()) != reply.GetDigest() {
		return brfollower.SnapshotPiece{}, errors.Errorf("piece of snapshot of %s does not match its digest", p.address)
	}
	last := brconfig.NewReference(brconfig.Kind(reply.GetKind()), reply.GetName())
	piece := brdocument.RestorePiece(reply.GetResources(), last, reply.GetMore())
	return brfollower.NewSnapshotPiece(decodeHead(reply.GetHead()), piece), nil
}

func encodeHead(head brdocument.Head) *brentrypb.HeadMessage {
	return &brentrypb.HeadMessage{Generation: head.Generation(), Operation: head.Operation(), Digest: head.Digest()}
}

func decodeHead(m *brentrypb.HeadMessage) brdocument.Head {
	return brdocument.RestoreHead(m.GetGeneration(), m.GetOperation(), m.GetDigest())
}
