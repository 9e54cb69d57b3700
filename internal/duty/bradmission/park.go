package bradmission

import (
	"slices"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// maxParked bounds the requests that wait for loans.
	maxParked = 1024
	// maxParkTime bounds how long a request waits for loans.
	maxParkTime = 250 * time.Millisecond
)

// parked is a request that is over the VM's own share while loans are sought.
type parked struct {
	message      message
	organisation string
	verdict      brrequest.Verdict
	until        time.Time
}

// park keeps a refused request while loans are sought, and reports whether it does.
func (h *handler) park(m message, verdict brrequest.Verdict) bool {
	if verdict.Reason() != brrequest.ReasonOverRate || len(h.parked) >= maxParked {
		return false
	}
	account, ok := h.limits.accounts[verdict.Organisation()]
	if !ok || !account.seeking {
		return false
	}
	until := h.clock.Now().Add(maxParkTime)
	h.parked = append(h.parked, parked{message: m, organisation: verdict.Organisation(), verdict: verdict, until: until})
	return true
}

// retryParked admits the requests of an organisation that its share now bears.
func (h *handler) retryParked(organisation string) {
	h.parked = slices.DeleteFunc(h.parked, func(p parked) bool {
		if p.organisation != organisation {
			return false
		}
		verdict := h.verdict(p.message.request)
		if verdict.Admitted() {
			p.message.reply.Answer(verdict)
		}
		return verdict.Admitted()
	})
}

// answerParked answers the requests of an organisation once its search has ended.
func (h *handler) answerParked(organisation string) {
	h.retryParked(organisation)
	h.parked = slices.DeleteFunc(h.parked, func(p parked) bool {
		if p.organisation == organisation {
			p.message.reply.Answer(p.verdict)
		}
		return p.organisation == organisation
	})
}

// expireParked answers the requests that have waited long enough.
func (h *handler) expireParked(now time.Time) {
	h.parked = slices.DeleteFunc(h.parked, func(p parked) bool {
		due := !now.Before(p.until)
		if due {
			p.message.reply.Answer(p.verdict)
		}
		return due
	})
}
