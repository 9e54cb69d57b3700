// Package brpinger provides the duty that sends pings to other VMs and waits for
// the responses.
//
// The pings have their own duty so that a VM that does not respond delays only other
// pings.
//
// # Usage
//
//	pinger := brpinger.New(clock, client)
//	membership := brmembership.New(identity, clock, list, seeds, pinger, distributor, timeline, logger)
//	pinger.SetListener(membership)
//	group.Start(pinger.Duty())
package brpinger

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

const (
	queueCapacity = 16 // rounds
	pingTimeout   = 400 * time.Millisecond
)

// Request is a ping with its destination. It is immutable.
type Request struct {
	name    string
	address string
	ping    brmember.Ping
}

// NewRequest returns a ping to the named VM at an address, host:port.
func NewRequest(name, address string, ping brmember.Ping) Request {
	return Request{name: name, address: address, ping: ping}
}

// Name returns the name of the destination VM.
func (r Request) Name() string { return r.name }

// Address returns the address of the destination, host:port.
func (r Request) Address() string { return r.address }

// Ping returns the message to send.
func (r Request) Ping() brmember.Ping { return r.ping }

// Result is the result of a ping: a response or an error. It is immutable.
type Result struct {
	name     string
	response brmember.Ping
	err      error
}

// NewResult returns the result of a ping to the named VM.
func NewResult(name string, response brmember.Ping, err error) Result {
	return Result{name: name, response: response, err: err}
}

// Name returns the name of the VM that was pinged.
func (r Result) Name() string { return r.name }

// Response returns the response of the VM. It is only valid if Err is nil.
func (r Result) Response() brmember.Ping { return r.response }

// Err returns why there is no response, or nil.
func (r Result) Err() error { return r.err }

// Client sends pings over the network.
type Client interface {
	// PingAll sends pings concurrently and returns the result of each.
	PingAll(ctx context.Context, requests []Request, timeout time.Duration) []Result
}

// ResultListener receives the results of pings.
type ResultListener interface {
	// HandleResults receives the results of one round of pings.
	HandleResults(results []Result)
}

// Pinger is the handle of the duty; its methods may be called from any goroutine.
type Pinger struct {
	duty    *brduty.Duty[[]Request, struct{}]
	handler *handler
}

// New returns the duty that sends its pings with client.
func New(clock brclock.Clock, client Client) *Pinger {
	h := &handler{client: client}
	return &Pinger{
		duty:    brduty.New[[]Request, struct{}]("pinging", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
		handler: h,
	}
}

// Duty returns the runner to be passed to a brduty.Group.
func (p *Pinger) Duty() brduty.Runner { return p.duty }

// SetListener sets the receiver of the results. It must be called before the duty starts.
func (p *Pinger) SetListener(listener ResultListener) { p.handler.listener = listener }

// Ping queues a round of pings without waiting for the responses.
func (p *Pinger) Ping(requests []Request) {
	if len(requests) > 0 {
		_ = p.duty.Queue().Send(requests)
	}
}

type handler struct {
	client   Client
	listener ResultListener
}

// Handle sends one round of pings and passes the results on.
func (h *handler) Handle(ctx context.Context, requests []Request) {
	h.listener.HandleResults(h.client.PingAll(ctx, requests, pingTimeout))
}

// Update does nothing: this duty uses no snapshots.
func (*handler) Update(context.Context, struct{}) {}

// Tick does nothing: this duty has no periodic work.
func (*handler) Tick(context.Context, time.Time) {}
