package bradministration

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brwitness"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const (
	// announceTimeout is the timeout of an announcement to one witness.
	announceTimeout = 500 * time.Millisecond
	// endTimeout is the timeout for notifying the witness that a write has ended. A
	// witness that misses the notification learns it from the table.
	endTimeout = time.Second
)

// Witnesses record writes of the head, so that VMs that can't read the table can
// find out whether there was one.
type Witnesses interface {
	// Begin announces a write to the witness at host:port and reports whether
	// the witness accepted the announcement.
	Begin(ctx context.Context, address, attemptID string) (bool, error)
	// End notifies the witness that the outcome of a write is known. The delta
	// is nil if the write was not accepted.
	End(ctx context.Context, address, attemptID string, delta []byte) error
}

// announcement is a write that was announced to one witness.
type announcement struct {
	witnesses Witnesses
	address   string // empty if no witness was notified
	attemptID string
}

// announce announces the write of one attempt, which is based on the snapshot, to the
// first witness that accepts it. It returns ErrUnavailable if none does.
func (a *Administration) announce(ctx context.Context, snapshot *brconfig.Snapshot, attemptID string, withoutWitness bool) (announcement, error) {
	names := brwitness.Choose(snapshot)
	if len(names) == 0 || withoutWitness {
		return announcement{}, nil
	}
	var last error
	for _, name := range names {
		vm, _ := snapshot.VMs().Get(name).Get()
		accepted, err := a.begin(ctx, vm.PeerAddress(), attemptID)
		if err == nil && accepted {
			return announcement{witnesses: a.witnesses, address: vm.PeerAddress(), attemptID: attemptID}, nil
		}
		last = errors.Errorf("witness %s: %w", name, err)
	}
	return announcement{}, ErrUnavailable{cause: errors.Errorf("announce change: %w", last)}
}

func (a *Administration) begin(ctx context.Context, address, attemptID string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return a.witnesses.Begin(ctx, address, attemptID)
}

// end notifies the witness that the outcome is known.
func (a announcement) end(ctx context.Context, delta []byte) {
	if a.address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	_ = a.witnesses.End(ctx, a.address, a.attemptID, delta)
}
