package brbalancing

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brfair"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// maxWaiting bounds the number of placements that wait for one service.
const maxWaiting = 1024

// waiter is a placement that waits for a free slot.
type waiter struct {
	placement brrequest.Placement
	reply     reply
	giveUp    time.Time
}

// line is the wait queue of one service, which is fair between organisations.
type line struct {
	queue *brfair.Queue[waiter, brfair.Weighted]
	next  broption.Option[waiter] // head of the queue, already popped, for which no slot was free
}

func newLine() *line {
	return &line{queue: brfair.New[waiter, brfair.Weighted](maxWaiting)}
}

func (l *line) empty() bool { return !l.next.IsPresent() && l.queue.Len() == 0 }

// advance returns the placement at the head of the queue without removing it.
func (l *line) advance() (waiter, bool) {
	if w, ok := l.next.Get(); ok {
		return w, true
	}
	item, ok := l.queue.Pop().Get()
	if !ok {
		return waiter{}, false
	}
	l.next = broption.Some(item.Value())
	return item.Value(), true
}

// place assigns a free slot, queues the placement or refuses it. A new placement never
// overtakes those that are queued.
func (h *handler) place(m message, now time.Time) {
	service := m.placement.Service()
	waiting, ok := h.lines[service]
	if !ok || waiting.empty() {
		server := h.balancer.Pick(now, m.placement)
		if server.IsPresent() || m.placement.Patience() <= 0 {
			m.reply.Answer(server)
			return
		}
	}
	if m.placement.Patience() <= 0 || !h.balancer.Serves(service) {
		m.reply.Answer(broption.None[brconfig.Server]())
		return
	}
	h.wait(waiter{placement: m.placement, reply: m.reply, giveUp: giveUpAt(m.placement, now)})
}

func giveUpAt(placement brrequest.Placement, now time.Time) time.Time {
	giveUp := now.Add(placement.Patience())
	if deadline := placement.Deadline(); !deadline.IsZero() && deadline.Before(giveUp) {
		return deadline
	}
	return giveUp
}

func (h *handler) wait(w waiter) {
	service := w.placement.Service()
	waiting, ok := h.lines[service]
	if !ok {
		waiting = newLine()
		h.lines[service] = waiting
	}
	item := brfair.NewItem(w.placement.Organisation(), w.placement.Weight(), w.giveUp, w)
	displaced, err := waiting.queue.Push(item)
	if err != nil {
		refuse(w)
		return
	}
	if other, ok := displaced.Get(); ok {
		refuse(other.Value())
	}
}

// serveAll assigns free slots to queued placements.
func (h *handler) serveAll(now time.Time) {
	for service, waiting := range h.lines {
		h.serve(waiting, now)
		if waiting.empty() {
			delete(h.lines, service)
		}
	}
}

func (h *handler) serve(waiting *line, now time.Time) {
	for {
		w, ok := waiting.advance()
		if !ok {
			return
		}
		server := h.balancer.Pick(now, w.placement)
		if !server.IsPresent() {
			return
		}
		w.reply.Answer(server)
		waiting.next = broption.None[waiter]()
	}
}

// Tick refuses placements that have timed out, assigns free slots to the others and
// publishes the proposed records of moves.
func (h *handler) Tick(_ context.Context, now time.Time) {
	for _, waiting := range h.lines {
		for _, item := range waiting.queue.Expire(now) {
			refuse(item.Value())
		}
		if w, ok := waiting.next.Get(); ok && !now.Before(w.giveUp) {
			refuse(w)
			waiting.next = broption.None[waiter]()
		}
	}
	h.serveAll(now)
	h.propose(now)
}

// expiryPeriod bounds how long after its timeout a queued placement is refused.
const expiryPeriod = 20 * time.Millisecond

// Due requests more frequent ticks while placements are queued.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return expiryPeriod, len(h.lines) > 0
}

// abandon removes a placement from its queue, or frees the slot if one was already
// assigned.
func (h *handler) abandon(abandoned reply, now time.Time) {
	if server, ok := abandoned.Take(); ok {
		if s, got := server.Get(); got {
			h.balancer.Release(now, brrequest.NewOutcome(s.Name(), brrequest.OutcomeCancelled, 0))
			h.serveAll(now)
		}
		return
	}
	for _, waiting := range h.lines {
		waiting.remove(abandoned)
	}
}

func (l *line) remove(abandoned reply) {
	if w, ok := l.next.Get(); ok && w.reply.Is(abandoned) {
		l.next = broption.None[waiter]()
		return
	}
	l.queue.Remove(func(w waiter) bool { return w.reply.Is(abandoned) })
}

func refuse(w waiter) {
	w.reply.Answer(broption.None[brconfig.Server]())
}
