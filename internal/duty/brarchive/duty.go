// Package brarchive provides the duty that writes snapshots of the configuration to the
// object store, so that a starting VM doesn't have to read all deltas.
//
// A snapshot is due every brdistributor.SnapshotInterval generations. The VMs that rank first
// by a rendezvous hash of the generation write it in pieces, followed by the manifest that
// lists the pieces. Object names and contents depend only on the generation, so concurrent
// or repeated writes are harmless.
//
// # Usage
//
//	archiver := brarchive.New("vm-1", clock, objects, logger)
//	distributor.SubscribeArchive(archiver.States())
//	membership.Subscribe(archiver.Members())
//	group.Start(archiver.Duty())
package brarchive

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brdistribution"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
)

// tickPeriod is the interval between write attempts.
const tickPeriod = 2 * time.Second

// Archiver is the duty.
type Archiver struct {
	duty    *brduty.Duty[struct{}, brdistributor.State]
	members *brring.Latest[brmember.List]
}

// New returns the duty of a VM.
func New(vm string, clock brclock.Clock, objects brobject.Store, logger *log.Logger) *Archiver {
	members := brring.NewLatest[brmember.List]()
	h := &handler{vm: vm, objects: objects, logger: logger, incoming: members}
	return &Archiver{
		duty:    brduty.New[struct{}, brdistributor.State]("archiving", h, clock, brduty.WithPeriod(tickPeriod)),
		members: members,
	}
}

// Duty returns the duty for a group to start.
func (a *Archiver) Duty() brduty.Runner { return a.duty }

// States returns the ring that receives the states whose snapshot is due.
func (a *Archiver) States() *brring.Latest[brdistributor.State] { return a.duty.Snapshots() }

// Members returns the ring that receives the list of members.
func (a *Archiver) Members() *brring.Latest[brmember.List] { return a.members }

type handler struct {
	vm       string
	objects  brobject.Store
	logger   *log.Logger
	incoming *brring.Latest[brmember.List]
	members  brmember.List
	due      broption.Option[brdistributor.State]
}

// Handle does nothing: the duty receives no messages.
func (*handler) Handle(context.Context, struct{}) {}

// Update sets the state whose snapshot is due.
func (h *handler) Update(_ context.Context, state brdistributor.State) {
	h.due = broption.Some(state)
}

// Tick writes the snapshot that is due. A failed write is retried at the next tick.
func (h *handler) Tick(ctx context.Context, _ time.Time) {
	if members, ok := h.incoming.TryReceive(); ok {
		h.members = members
	}
	state, ok := h.due.Get()
	if !ok {
		return
	}
	if brdistribution.WritesSnapshot(h.vm, state.Head().Generation(), h.members.All()) {
		if err := h.write(ctx, state); err != nil {
			h.logger.Warn("failed to write snapshot", "generation", state.Head().Generation(), "error", err)
			return
		}
	}
	h.due = broption.None[brdistributor.State]()
}

func (h *handler) write(ctx context.Context, state brdistributor.State) error {
	_, err := h.objects.Get(ctx, brdocument.ManifestName(state.Head()))
	if err == nil {
		return nil
	}
	if !brobject.IsErrObjectNotExist(err) {
		return errors.Errorf("check for manifest: %w", err)
	}
	digests, err := h.writePieces(ctx, state)
	if err != nil {
		return err
	}
	data, err := brdocument.EncodeManifest(brdocument.NewManifest(state.Head(), digests))
	if err != nil {
		return errors.Errorf("encode manifest: %w", err)
	}
	if err := h.objects.Put(ctx, brdocument.ManifestName(state.Head()), data); err != nil {
		return errors.Errorf("write manifest: %w", err)
	}
	return nil
}

func (h *handler) writePieces(ctx context.Context, state brdistributor.State) ([]string, error) {
	digests := []string{}
	after := brconfig.Reference{}
	for more := true; more; {
		piece, err := brdocument.EncodePiece(state.Snapshot(), after)
		if err != nil {
			return nil, errors.Errorf("encode piece %d: %w", len(digests), err)
		}
		if err := h.objects.Put(ctx, brdocument.PieceName(state.Head(), len(digests)), piece.Data()); err != nil {
			return nil, errors.Errorf("write piece %d: %w", len(digests), err)
		}
		digests = append(digests, brdocument.Digest(piece.Data()))
		after, more = piece.Last(), piece.More()
	}
	return digests, nil
}
