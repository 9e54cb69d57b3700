package brfollower

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Source is another VM that serves its configuration.
type Source interface {
	// Wait returns the VM's head once its generation is above the given one,
	// or when holdTime has elapsed.
	Wait(ctx context.Context, above uint64, holdTime time.Duration) (PollResponse, error)
	// Fetch returns the VM's encoded deltas after a generation, oldest first.
	// The boolean is false if the VM does not keep deltas that far back.
	Fetch(ctx context.Context, after uint64) ([][]byte, bool, error)
	// FetchPiece returns the piece of a snapshot that begins after a resource.
	// Generation 0 selects the newest snapshot.
	FetchPiece(ctx context.Context, generation uint64, after brconfig.Reference) (SnapshotPiece, error)
}

// Dialer creates clients for other VMs.
type Dialer interface {
	// Dial returns a client for the VM at host:port without connecting yet.
	Dial(address string) Source
}

// PollResponse is the response to a long poll. It contains the head of a VM.
type PollResponse struct {
	head brdocument.Head
	held time.Duration
	age  broption.Option[time.Duration]
}

// NewPollResponse returns the response with the head, the time for which the long poll was
// held, and the time since the head was last confirmed as the newest one, if ever.
func NewPollResponse(head brdocument.Head, held time.Duration, age broption.Option[time.Duration]) PollResponse {
	return PollResponse{head: head, held: held, age: age}
}

// Head returns the head that the VM has.
func (r PollResponse) Head() brdocument.Head { return r.head }

// Held returns how long the long poll was held.
func (r PollResponse) Held() time.Duration { return r.held }

// Age returns the time since the head was last confirmed as the newest one.
func (r PollResponse) Age() broption.Option[time.Duration] { return r.age }

// SnapshotPiece is a piece of a snapshot together with the snapshot's head.
type SnapshotPiece struct {
	head  brdocument.Head
	piece brdocument.Piece
}

// NewSnapshotPiece returns a piece of the snapshot with the given head.
func NewSnapshotPiece(head brdocument.Head, piece brdocument.Piece) SnapshotPiece {
	return SnapshotPiece{head: head, piece: piece}
}

// Head returns the head of the snapshot.
func (p SnapshotPiece) Head() brdocument.Head { return p.head }

// Piece returns the data of the piece.
func (p SnapshotPiece) Piece() brdocument.Piece { return p.piece }
