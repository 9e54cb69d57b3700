package brbalancing

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brfair"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// maxWaiting bounds the placements that wait for one service.
const maxWaiting = 1024

// waiter is a placement that waits for its turn.
type waiter struct {
	placement brrequest.Placement
	reply     reply
	giveUp    time.Time
}

// line holds the placements that wait for one service, fair between organisations.
type line struct {
	queue *brfair.Queue[waiter, brfair.Weighted]
	next  broption.Option[waiter] // first in turn, for which no slot was free
}

func newLine() *line {
	return &line{queue: brfair.New[waiter, brfair.Weighted](maxWaiting)}
}

func (l *line) empty() bool { return !l.next.IsPresent() && l.queue.Len() == 0 }

// advance returns the placement whose turn it is.
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

// place gives a slot now, lets the placement wait, or refuses it. Nobody
// passes those who wait.
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

// serveAll gives free slots to those whose turn it is.
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

// Tick refuses those who have waited too long, serves the others and sends the
// next records of moves.
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

// expiryPeriod bounds how late a placement that waited too long is refused.
const expiryPeriod = 20 * time.Millisecond

// Due asks for ticks while someone waits.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return expiryPeriod, len(h.lines) > 0
}

// abandon takes a placement out of its line, or gives back the slot that it got.
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
