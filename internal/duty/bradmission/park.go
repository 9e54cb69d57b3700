package bradmission

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// maxParked bounds the number of requests that wait for loans.
	maxParked = 1024
	// maxParkTime bounds how long a request waits for loans.
	maxParkTime = 250 * time.Millisecond
)

// parked is a request that exceeds the VM's own share and waits for the outcome of a
// loan search.
type parked struct {
	message      message
	organisation string
	refusal      brrequest.Decision
	until        time.Time
}

// park holds back the refusal of a request while a loan search is running, and reports
// whether it did.
func (h *handler) park(m message, decision brrequest.Decision) bool {
	if decision.Reason() != brrequest.ReasonOverRate || len(h.parked) >= maxParked {
		return false
	}
	account, ok := h.limits.accounts[decision.Organisation()]
	if !ok || !account.searching {
		return false
	}
	until := h.clock.Now().Add(maxParkTime)
	h.parked = append(h.parked, parked{message: m, organisation: decision.Organisation(), refusal: decision, until: until})
	return true
}

// retryParked admits the parked requests of an organisation for which there are now
// enough tokens, and drops those whose callers no longer wait.
func (h *handler) retryParked(organisation string) {
	h.parked = slices.DeleteFunc(h.parked, func(p parked) bool {
		if p.organisation != organisation {
			return false
		}
		if p.message.reply.IsAbandoned() {
			return true
		}
		decision := h.decide(p.message.request)
		if decision.Admitted() {
			p.message.reply.Answer(decision)
		}
		return decision.Admitted()
	})
}

// answerParked answers the parked requests of an organisation when its loan search has
// ended.
func (h *handler) answerParked(organisation string) {
	h.retryParked(organisation)
	h.parked = slices.DeleteFunc(h.parked, func(p parked) bool {
		if p.organisation == organisation {
			p.message.reply.Answer(p.refusal)
		}
		return p.organisation == organisation
	})
}

// expireParked refuses the parked requests that have timed out.
func (h *handler) expireParked(now time.Time) {
	h.parked = slices.DeleteFunc(h.parked, func(p parked) bool {
		due := !now.Before(p.until)
		if due {
			p.message.reply.Answer(p.refusal)
		}
		return due
	})
}
