package bradministration

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brwitness"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const (
	// announceTime bounds the announcement to one witness.
	announceTime = 500 * time.Millisecond
	// endTime bounds the word to the witness that a write has ended. A witness
	// that is not told finds out from the table.
	endTime = time.Second
)

// Witnesses are told of writes of the head, so that VMs that can't read the
// table know whether there was one.
type Witnesses interface {
	// Begin announces a write to the VM at host:port and reports whether it
	// was taken.
	Begin(ctx context.Context, address, operation string) (bool, error)
	// End tells that the outcome of a write is known, with the delta that was
	// accepted or nothing.
	End(ctx context.Context, address, operation string, delta []byte) error
}

// announcement is a write that one witness knows of.
type announcement struct {
	witnesses Witnesses
	address   string // "" where there is no witness
	operation string
}

// announce tells one witness of a write that follows a configuration. It
// returns ErrUnavailable where none can be told.
func (a *Administration) announce(ctx context.Context, snapshot *brconfig.Snapshot, operation string, without bool) (announcement, error) {
	names := brwitness.Choose(snapshot)
	if len(names) == 0 || without {
		return announcement{}, nil
	}
	var last error
	for _, name := range names {
		vm, _ := snapshot.VMs().Get(name).Get()
		taken, err := a.begin(ctx, vm.PeerAddress(), operation)
		if err == nil && taken {
			return announcement{witnesses: a.witnesses, address: vm.PeerAddress(), operation: operation}, nil
		}
		last = errors.Errorf("witness %s: %w", name, err)
	}
	return announcement{}, ErrUnavailable{cause: errors.Errorf("announce change: %w", last)}
}

func (a *Administration) begin(ctx context.Context, address, operation string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	return a.witnesses.Begin(ctx, address, operation)
}

// end tells the witness of an outcome that is known.
func (n announcement) end(ctx context.Context, delta []byte) {
	if n.address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTime)
	defer cancel()
	_ = n.witnesses.End(ctx, n.address, n.operation, delta)
}
