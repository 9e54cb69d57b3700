package bradmission

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/decide/brguess"
	"bergamotroad.example/bergamotroad/internal/decide/brkey"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// identity tells for which organisation a request comes.
type identity struct {
	snapshot  *brconfig.Snapshot
	keys      *brkey.Keychain
	knowledge brkey.Knowledge
	guesses   *brguess.Limiter
}

// unidentified says why a request comes for no organisation.
type unidentified struct {
	reason       brrequest.Reason
	organisation string
	retryAfter   time.Duration
}

// unconfirmedRetry is when knowledge of keys is likely to be confirmed again.
const unconfirmedRetry = time.Second

func newIdentity() *identity {
	return &identity{guesses: brguess.NewLimiter(), keys: brkey.NewKeychain(brconfig.NewSnapshot())}
}

func (i *identity) update(snapshot *brconfig.Snapshot) {
	i.snapshot = snapshot
	i.keys = i.keys.Advance(snapshot)
}

// Confirm says that at a moment no accepted change was newer than the
// configuration that this VM holds.
func (a *Admission) Confirm(at time.Time) {
	_ = a.duty.Queue().Send(message{control: func(h *handler) { h.identity.knowledge.Confirm(at) }})
}

// of returns the organisation whose key came with a request, or why there is none.
func (i *identity) of(request brrequest.Request, now time.Time) (brconfig.Organisation, unidentified) {
	hash := request.KeyHash()
	if hash.IsZero() {
		return brconfig.Organisation{}, unidentified{reason: brrequest.ReasonNoKey}
	}
	if wait, blocked := i.guesses.Blocked(request.Client(), hash, now); blocked {
		return brconfig.Organisation{}, unidentified{reason: brrequest.ReasonTooManyGuesses, retryAfter: wait}
	}
	name, ok := i.keys.Organisation(hash).Get()
	if !ok {
		i.guesses.Failed(request.Client(), now)
		return brconfig.Organisation{}, unidentified{reason: brrequest.ReasonUnknownKey}
	}
	i.guesses.Succeeded(request.Client(), hash)
	owner, _ := i.snapshot.Organisations().Get(name).Get()
	if !i.knowledge.Honours(owner, now) {
		return brconfig.Organisation{}, unidentified{
			reason:       brrequest.ReasonKeyUnconfirmed,
			organisation: name,
			retryAfter:   unconfirmedRetry,
		}
	}
	return owner, unidentified{}
}
