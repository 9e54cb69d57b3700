// Package brrevoking provides the duty that ends running requests whose key
// was withdrawn.
//
// Admission checks the key of each new request. A request that runs already,
// such as an extract of hours, is registered here: once its key is withdrawn,
// or can't be confirmed within the organisation's bound, its context is
// cancelled after a short grace. The grace lets requests of ordinary length
// end with their true answer, where a cut would leave their fate unknown.
//
// # Usage
//
//	revoking := brrevoking.New(clock)
//	group.Start(revoking.Duty())
//	ctx, end, err := revoking.Guard(ctx, request.KeyHash())
//	defer end()
package brrevoking

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brkey"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	queueCapacity = 8192 // messages
	// checkPeriod is the time between two looks at running requests.
	checkPeriod = 250 * time.Millisecond
	// Grace is how long a request may go on after its key stopped being honoured.
	Grace = 2 * time.Second
)

// ErrWithdrawn is the cause with which the context of a request is cancelled.
type ErrWithdrawn struct{}

// Error returns the message.
func (ErrWithdrawn) Error() string { return "key of the request is withdrawn or can't be confirmed" }

// IsErrWithdrawn reports whether err is or wraps ErrWithdrawn.
func IsErrWithdrawn(err error) bool {
	_, ok := errors.Into[ErrWithdrawn](err)
	return ok
}

// running is a request that runs with a key.
type running struct {
	key     brrequest.KeyHash
	context context.Context
	cancel  context.CancelCauseFunc
}

type message struct {
	started   *running
	confirmed time.Time
}

// Revoking is the duty with the calls that reach it.
type Revoking struct {
	duty *brduty.Duty[message, *brconfig.Snapshot]
}

// New returns the duty.
func New(clock brclock.Clock) *Revoking {
	h := &handler{clock: clock, running: map[brrequest.KeyHash]*group{}, keys: brkey.NewKeychain(brconfig.NewSnapshot())}
	return &Revoking{
		duty: brduty.New("revoking", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
	}
}

// Duty returns the duty to be started.
func (r *Revoking) Duty() brduty.Runner { return r.duty }

// Snapshots returns the ring that takes the configuration.
func (r *Revoking) Snapshots() *brring.Latest[*brconfig.Snapshot] { return r.duty.Snapshots() }

// Confirm says that at a moment no accepted change was newer than the
// configuration that this VM holds.
func (r *Revoking) Confirm(at time.Time) {
	_ = r.duty.Queue().Send(message{confirmed: at})
}

// Guard returns a context that is cancelled with ErrWithdrawn once the key is
// no longer honoured, and a function that ends the guard. A request without key
// needs none. It returns brring.ErrFull where too many requests start at once.
func (r *Revoking) Guard(ctx context.Context, key brrequest.KeyHash) (context.Context, context.CancelFunc, error) {
	if key.IsZero() {
		return ctx, func() {}, nil
	}
	guarded, cancel := context.WithCancelCause(ctx)
	started := &running{key: key, context: guarded, cancel: cancel}
	if err := r.duty.Queue().Send(message{started: started}); err != nil {
		cancel(err)
		return nil, nil, errors.Errorf("guard request: %w", err)
	}
	return guarded, func() { cancel(context.Canceled) }, nil
}

// group holds the running requests of one key.
type group struct {
	requests  []*running
	withdrawn time.Time // zero while the key is honoured
}

type handler struct {
	clock     brclock.Clock
	snapshot  *brconfig.Snapshot
	keys      *brkey.Keychain
	knowledge brkey.Knowledge
	running   map[brrequest.KeyHash]*group
}

// Handle takes a request that starts, or a confirmation.
func (h *handler) Handle(_ context.Context, m message) {
	if m.started == nil {
		h.knowledge.Confirm(m.confirmed)
		return
	}
	g, ok := h.running[m.started.key]
	if !ok {
		g = &group{}
		h.running[m.started.key] = g
	}
	g.requests = append(g.requests, m.started)
}

// Update takes a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.snapshot = snapshot
	h.keys = h.keys.Advance(snapshot)
	h.check(h.clock.Now())
}

// Tick ends requests whose grace is over and forgets those that have ended.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.check(now)
}

// Due asks for ticks while requests run.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return checkPeriod, len(h.running) > 0
}

func (h *handler) check(now time.Time) {
	for key, g := range h.running {
		g.forgetEnded()
		if len(g.requests) == 0 {
			delete(h.running, key)
			continue
		}
		g.judge(h.honoured(key, now), now)
	}
}

func (h *handler) honoured(key brrequest.KeyHash, now time.Time) bool {
	name, ok := h.keys.Organisation(key).Get()
	if !ok {
		return false
	}
	organisation, _ := h.snapshot.Organisations().Get(name).Get()
	return h.knowledge.Honours(organisation, now)
}

func (g *group) judge(honoured bool, now time.Time) {
	switch {
	case honoured:
		g.withdrawn = time.Time{}
	case g.withdrawn.IsZero():
		g.withdrawn = now
	case now.Sub(g.withdrawn) >= Grace:
		for _, r := range g.requests {
			r.cancel(ErrWithdrawn{})
		}
		g.requests = nil
	}
}

func (g *group) forgetEnded() {
	kept := g.requests[:0]
	for _, r := range g.requests {
		if r.context.Err() == nil {
			kept = append(kept, r)
		}
	}
	clear(g.requests[len(kept):])
	g.requests = kept
}
