package brbalancer

import (
	"context"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/decide/brfairqueue"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// maxWaiting bounds the number of placements that wait for one service.
const maxWaiting = 1024

// waiter is a placement that waits for a free slot.
type waiter struct {
	placement brrequest.Placement
	reply     reply
	deadline  time.Time
}

// waitQueue is the wait queue of one service, which is fair between organisations.
type waitQueue struct {
	queue *brfairqueue.Queue[waiter, brfairqueue.Weighted]
	head  broption.Option[waiter] // head of the queue, already popped, for which no slot was free
}

func newWaitQueue() *waitQueue {
	return &waitQueue{queue: brfairqueue.New[waiter, brfairqueue.Weighted](maxWaiting)}
}

func (q *waitQueue) empty() bool { return !q.head.IsPresent() && q.queue.Len() == 0 }

// peek returns the placement at the head of the queue without removing it.
func (q *waitQueue) peek() (waiter, bool) {
	if w, ok := q.head.Get(); ok {
		return w, true
	}
	item, ok := q.queue.Pop().Get()
	if !ok {
		return waiter{}, false
	}
	q.head = broption.Some(item.Value())
	return item.Value(), true
}

// place assigns a free slot, queues the placement or refuses it. A new placement never
// overtakes those that are queued.
func (h *handler) place(m message, now time.Time) {
	service := m.placement.Service()
	waiting, ok := h.waiting[service]
	if !ok || waiting.empty() {
		server := h.balancer.Pick(now, m.placement)
		if server.IsPresent() || m.placement.MaxWait() <= 0 {
			h.answer(m.reply, server, now)
			return
		}
	}
	if m.placement.MaxWait() <= 0 || !h.balancer.Serves(service) {
		m.reply.Answer(broption.None[brconfig.Server]())
		return
	}
	h.enqueue(waiter{placement: m.placement, reply: m.reply, deadline: waitDeadline(m.placement, now)})
}

func waitDeadline(placement brrequest.Placement, now time.Time) time.Time {
	end := now.Add(placement.MaxWait())
	if deadline := placement.Deadline(); !deadline.IsZero() && deadline.Before(end) {
		return deadline
	}
	return end
}

func (h *handler) enqueue(w waiter) {
	service := w.placement.Service()
	waiting, ok := h.waiting[service]
	if !ok {
		waiting = newWaitQueue()
		h.waiting[service] = waiting
	}
	item := brfairqueue.NewItem(w.placement.Organisation(), w.placement.Weight(), w.deadline, w)
	displaced, err := waiting.queue.Push(item)
	if err != nil {
		refuse(w)
		return
	}
	if other, ok := displaced.Get(); ok {
		refuse(other.Value())
	}
}

// assignAll assigns free slots to queued placements.
func (h *handler) assignAll(now time.Time) {
	for service, waiting := range h.waiting {
		h.assign(waiting, now)
		if waiting.empty() {
			delete(h.waiting, service)
		}
	}
}

func (h *handler) assign(waiting *waitQueue, now time.Time) {
	for {
		w, ok := waiting.peek()
		if !ok {
			return
		}
		server := h.balancer.Pick(now, w.placement)
		if !server.IsPresent() {
			return
		}
		h.answer(w.reply, server, now)
		waiting.head = broption.None[waiter]()
	}
}

// answer sends the selected server to the caller. If the caller no longer waits, it frees
// the slot.
func (h *handler) answer(to reply, server broption.Option[brconfig.Server], now time.Time) {
	s, assigned := server.Get()
	if !to.Answer(server) && assigned {
		h.balancer.Release(now, brrequest.NewOutcome(s.Name(), brrequest.OutcomeCancelled, 0))
	}
}

// Tick refuses placements that have timed out, assigns free slots to the others and
// publishes the proposed records of moves.
func (h *handler) Tick(_ context.Context, now time.Time) {
	for _, waiting := range h.waiting {
		for _, item := range waiting.queue.Expire(now) {
			refuse(item.Value())
		}
		if w, ok := waiting.head.Get(); ok && !now.Before(w.deadline) {
			refuse(w)
			waiting.head = broption.None[waiter]()
		}
	}
	h.assignAll(now)
	h.propose(now)
}

// expiryPeriod bounds how long after its timeout a queued placement is refused.
const expiryPeriod = 20 * time.Millisecond

// Due requests more frequent ticks while placements are queued.
func (h *handler) Due(time.Time) (time.Duration, bool) {
	return expiryPeriod, len(h.waiting) > 0
}

// cancel removes a placement from its queue. If the message that cancels it was rejected,
// answer frees the slot later.
func (h *handler) cancel(cancelled reply) {
	for _, waiting := range h.waiting {
		waiting.remove(cancelled)
	}
}

func (q *waitQueue) remove(cancelled reply) {
	if w, ok := q.head.Get(); ok && w.reply.Equal(cancelled) {
		q.head = broption.None[waiter]()
		return
	}
	q.queue.Remove(func(w waiter) bool { return w.reply.Equal(cancelled) })
}

func refuse(w waiter) {
	w.reply.Answer(broption.None[brconfig.Server]())
}
