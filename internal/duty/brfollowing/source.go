package brfollowing

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Source is another VM that gives its configuration.
type Source interface {
	// Wait returns the VM's head once its generation is above the given one,
	// or after the patience.
	Wait(ctx context.Context, above uint64, patience time.Duration) (Notice, error)
	// Fetch returns the VM's encoded deltas after a generation, oldest first.
	// It is false where the VM does not keep deltas that far back.
	Fetch(ctx context.Context, after uint64) ([][]byte, bool, error)
	// FetchPiece returns the part of a snapshot that follows a resource.
	// Generation 0 asks for the newest snapshot.
	FetchPiece(ctx context.Context, generation uint64, after brconfig.Reference) (Part, error)
}

// Dialer reaches other VMs.
type Dialer interface {
	// Dial returns the VM at host:port. It makes no connection yet.
	Dial(address string) Source
}

// Notice is what a VM says of its head.
type Notice struct {
	head brdocument.Head
	held time.Duration
	age  broption.Option[time.Duration]
}

// NewNotice returns a head, how long the question was held, and how long ago
// the head was known to be the newest one, where that is known.
func NewNotice(head brdocument.Head, held time.Duration, age broption.Option[time.Duration]) Notice {
	return Notice{head: head, held: held, age: age}
}

// Head returns the head.
func (n Notice) Head() brdocument.Head { return n.head }

// Held returns how long the question was held.
func (n Notice) Held() time.Duration { return n.held }

// Age returns how long ago the head was known to be the newest one.
func (n Notice) Age() broption.Option[time.Duration] { return n.age }

// Part is a piece of the snapshot at a head.
type Part struct {
	head  brdocument.Head
	piece brdocument.Piece
}

// NewPart returns a piece of the snapshot at a head.
func NewPart(head brdocument.Head, piece brdocument.Piece) Part {
	return Part{head: head, piece: piece}
}

// Head returns the head of the snapshot.
func (p Part) Head() brdocument.Head { return p.head }

// Piece returns the piece.
func (p Part) Piece() brdocument.Piece { return p.piece }
