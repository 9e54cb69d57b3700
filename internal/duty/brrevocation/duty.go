// Package brrevocation provides the duty that cancels running requests whose key was
// revoked.
//
// Admission checks the key of each new request, but a request may run for hours. Running
// requests are therefore registered here: once a key is revoked, or can't be confirmed
// within the organisation's limit, the contexts of its requests are cancelled after a
// grace period. It allows requests of ordinary length to end with their real response, since
// the outcome of a cancelled request is unknown.
//
// # Usage
//
//	revoker := brrevocation.New(clock)
//	group.Start(revoker.Duty())
//	ctx, end, err := revoker.Guard(ctx, request.KeyHash())
//	defer end()
package brrevocation

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
	// checkPeriod is the interval between checks of the running requests.
	checkPeriod = 250 * time.Millisecond
	// GracePeriod is how long a request may continue after its key became invalid.
	GracePeriod = 2 * time.Second
)

// ErrRevoked is the cause with which the duty cancels the context of a request.
type ErrRevoked struct{}

// Error implements error.
func (ErrRevoked) Error() string { return "key of the request was revoked or can't be confirmed" }

// IsErrRevoked reports whether err is or wraps ErrRevoked.
func IsErrRevoked(err error) bool {
	_, ok := errors.Into[ErrRevoked](err)
	return ok
}

// running is a running request that was made with a key.
type running struct {
	key     brrequest.KeyHash
	context context.Context
	cancel  context.CancelCauseFunc
}

type message struct {
	request   *running
	confirmed time.Time
}

// Revoker is the duty and its client methods, which may be called concurrently.
type Revoker struct {
	duty *brduty.Duty[message, *brconfig.Snapshot]
}

// New returns the duty.
func New(clock brclock.Clock) *Revoker {
	h := &handler{clock: clock, running: map[brrequest.KeyHash]*group{}, keys: brkey.NewKeychain(brconfig.NewSnapshot())}
	return &Revoker{
		duty: brduty.New("revoking", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
	}
}

// Duty returns the duty for a group to start.
func (r *Revoker) Duty() brduty.Runner { return r.duty }

// Snapshots returns the ring that receives the configuration.
func (r *Revoker) Snapshots() *brring.Latest[*brconfig.Snapshot] { return r.duty.Snapshots() }

// Confirm reports that the configuration of this VM was current at the given time: no
// newer change had been accepted.
func (r *Revoker) Confirm(at time.Time) {
	_ = r.duty.Queue().Send(message{confirmed: at})
}

// Guard registers a request. It returns a context that is cancelled with ErrRevoked
// after the key has become invalid, and a function to call when the request ends. A
// request without a key is not registered. Guard returns brring.ErrFull if the duty's
// queue is full.
func (r *Revoker) Guard(ctx context.Context, key brrequest.KeyHash) (context.Context, context.CancelFunc, error) {
	if key.IsZero() {
		return ctx, func() {}, nil
	}
	guarded, cancel := context.WithCancelCause(ctx)
	request := &running{key: key, context: guarded, cancel: cancel}
	if err := r.duty.Queue().Send(message{request: request}); err != nil {
		cancel(err)
		return nil, nil, errors.Errorf("guard request: %w", err)
	}
	return guarded, func() { cancel(context.Canceled) }, nil
}

// group holds the running requests of one key.
type group struct {
	requests     []*running
	invalidSince time.Time // zero while the key is valid
}

type handler struct {
	clock     brclock.Clock
	snapshot  *brconfig.Snapshot
	keys      *brkey.Keychain
	freshness brkey.Freshness
	running   map[brrequest.KeyHash]*group
}

// Handle registers a request or applies a confirmation.
func (h *handler) Handle(_ context.Context, m message) {
	if m.request == nil {
		h.freshness.Confirm(m.confirmed)
		return
	}
	g, ok := h.running[m.request.key]
	if !ok {
		g = &group{}
		h.running[m.request.key] = g
	}
	g.requests = append(g.requests, m.request)
}

// Update applies a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.snapshot = snapshot
	h.keys = h.keys.Advance(snapshot)
	h.check(h.clock.Now())
}

// Tick cancels the requests whose grace period is over and drops those that have ended.
func (h *handler) Tick(_ context.Context, now time.Time) {
	h.check(now)
}

// Due requests ticks while requests are running.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return checkPeriod, len(h.running) > 0
}

func (h *handler) check(now time.Time) {
	for key, g := range h.running {
		g.dropEnded()
		if len(g.requests) == 0 {
			delete(h.running, key)
			continue
		}
		g.enforce(h.valid(key, now), now)
	}
}

func (h *handler) valid(key brrequest.KeyHash, now time.Time) bool {
	name, ok := h.keys.Organisation(key).Get()
	if !ok {
		return false
	}
	organisation, _ := h.snapshot.Organisations().Get(name).Get()
	return h.freshness.Allows(organisation, now)
}

func (g *group) enforce(valid bool, now time.Time) {
	switch {
	case valid:
		g.invalidSince = time.Time{}
	case g.invalidSince.IsZero():
		g.invalidSince = now
	case now.Sub(g.invalidSince) >= GracePeriod:
		for _, r := range g.requests {
			r.cancel(ErrRevoked{})
		}
		g.requests = nil
	}
}

func (g *group) dropEnded() {
	kept := g.requests[:0]
	for _, r := range g.requests {
		if r.context.Err() == nil {
			kept = append(kept, r)
		}
	}
	clear(g.requests[len(kept):])
	g.requests = kept
}
