// Package brbandwidth provides the duty that limits the bandwidth of this VM's traffic to other
// regions.
//
// Traffic is limited by the sender. The bandwidth of a link is divided evenly among the
// entry VMs of the sending region and rounded down, so that together they never exceed it.
//
// # Usage
//
//	limiter := brbandwidth.New("montevideo-a", clock)
//	group.Start(limiter.Duty())
//	err := limiter.Wait(ctx, "este-a", request.ID(), int64(len(chunk)))
package brbandwidth

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brfairqueue"
	"bergamotroad.example/bergamotroad/internal/decide/brlink"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const queueCapacity = 4096 // chunks

// answer permits a chunk to be sent, or refuses it.
type answer struct {
	refusal error
}

type message struct {
	domain string
	stream string
	bytes  int64
	reply  brring.Reply[answer]
}

// Limiter is the duty and its client methods, which may be called concurrently.
type Limiter struct {
	duty    *brduty.Duty[message, *brconfig.Snapshot]
	answers *brring.ReplyPool[answer]
}

// New returns the duty of a VM in the given failure domain.
func New(domain string, clock brclock.Clock) *Limiter {
	h := &handler{domain: domain, clock: clock, pacers: map[string]*brlink.Pacer[brring.Reply[answer]]{}}
	return &Limiter{
		duty:    brduty.New("pacing", h, clock, brduty.WithCapacity(queueCapacity)),
		answers: brring.NewReplyPool[answer](),
	}
}

// Duty returns the duty for a group to start.
func (l *Limiter) Duty() brduty.Runner { return l.duty }

// Snapshots returns the ring that receives the configuration.
func (l *Limiter) Snapshots() *brring.Latest[*brconfig.Snapshot] { return l.duty.Snapshots() }

// Wait blocks until the given number of bytes of a stream, at most brlink.MaxChunk, may be
// sent to a failure domain. Traffic to a region without a configured link is not limited.
// Wait returns brring.ErrFull or brfairqueue.ErrFull if too many chunks are waiting.
func (l *Limiter) Wait(ctx context.Context, domain, stream string, bytes int64) error {
	response, err := brring.Ask(ctx, l.duty.Queue(), l.answers, func(reply brring.Reply[answer]) message {
		return message{domain: domain, stream: stream, bytes: bytes, reply: reply}
	})
	if err != nil {
		return errors.Errorf("wait for link to %s: %w", domain, err)
	}
	return response.refusal
}

// IsErrFull reports whether err means that too many chunks are waiting.
func IsErrFull(err error) bool {
	return brring.IsErrFull(err) || brfairqueue.IsErrFull(err)
}

type handler struct {
	domain  string
	clock   brclock.Clock
	regions map[string]string                              // by failure domain
	pacers  map[string]*brlink.Pacer[brring.Reply[answer]] // by receiving region
}

// Handle queues one chunk and grants those that may be sent now.
func (h *handler) Handle(_ context.Context, m message) {
	pacer, ok := h.pacers[h.regions[m.domain]]
	if !ok {
		m.reply.Answer(answer{})
		return
	}
	err := pacer.Enqueue(m.stream, m.bytes, m.reply)
	if brfairqueue.IsErrFull(err) {
		pacer.Remove(brring.Reply[answer].IsAbandoned)
		err = pacer.Enqueue(m.stream, m.bytes, m.reply)
	}
	if err != nil {
		m.reply.Answer(answer{refusal: err})
		return
	}
	grantDue(pacer, h.clock.Now())
}

// Update applies a new configuration.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	region := regionOf(snapshot, h.domain)
	vms := max(countVMs(snapshot, region), 1)
	now := h.clock.Now()
	h.regions = regionsByDomain(snapshot)
	for link := range snapshot.Links().All() {
		if link.From() != region {
			continue
		}
		bandwidth := link.BytesPerSecond() / int64(vms)
		if pacer, ok := h.pacers[link.To()]; ok {
			pacer.SetRate(bandwidth, now)
			continue
		}
		h.pacers[link.To()] = brlink.NewPacer[brring.Reply[answer]](bandwidth, now)
	}
}

// Tick grants the chunks that have become due.
func (h *handler) Tick(_ context.Context, now time.Time) {
	for _, pacer := range h.pacers {
		pacer.Remove(brring.Reply[answer].IsAbandoned)
		grantDue(pacer, now)
	}
}

// Due returns the time until the next chunk on any link may be sent, if any is waiting.
func (h *handler) Due(now time.Time) (time.Duration, bool) {
	earliest, found := time.Duration(0), false
	for _, pacer := range h.pacers {
		due, waiting := pacer.NextDelay(now)
		if waiting && (!found || due < earliest) {
			earliest, found = due, true
		}
	}
	return earliest, found
}

func grantDue(pacer *brlink.Pacer[brring.Reply[answer]], now time.Time) {
	for _, reply := range pacer.Grant(now) {
		reply.Answer(answer{})
	}
}

func regionsByDomain(snapshot *brconfig.Snapshot) map[string]string {
	regions := make(map[string]string, snapshot.Domains().Len())
	for domain := range snapshot.Domains().All() {
		regions[domain.Name()] = domain.Region()
	}
	return regions
}

func regionOf(snapshot *brconfig.Snapshot, domain string) string {
	d, _ := snapshot.Domains().Get(domain).Get()
	return d.Region()
}

func countVMs(snapshot *brconfig.Snapshot, region string) int {
	count := 0
	for vm := range snapshot.VMs().All() {
		site, _ := snapshot.Sites().Get(vm.Site()).Get()
		if regionOf(snapshot, site.Domain()) == region {
			count++
		}
	}
	return count
}
