package bradmission

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/decide/brguess"
	"bergamotroad.example/bergamotroad/internal/decide/brkey"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// identity authenticates requests: it maps the API key to an organisation.
type identity struct {
	snapshot  *brconfig.Snapshot
	keys      *brkey.Keychain
	knowledge brkey.Knowledge
	guesses   *brguess.Limiter
}

// unidentified describes why a request could not be authenticated.
type unidentified struct {
	reason       brrequest.Reason
	organisation string
	retryAfter   time.Duration
}

// unconfirmedRetry is the retry delay sent to callers while the API keys known to this
// VM are not confirmed as current; they are usually confirmed again within it.
const unconfirmedRetry = time.Second

func newIdentity() *identity {
	return &identity{guesses: brguess.NewLimiter(), keys: brkey.NewKeychain(brconfig.NewSnapshot())}
}

func (i *identity) update(snapshot *brconfig.Snapshot) {
	i.snapshot = snapshot
	i.keys = i.keys.Advance(snapshot)
}

// Confirm records that the configuration held by this VM was current at the given
// time: no newer change had been accepted.
func (a *Admission) Confirm(at time.Time) {
	_ = a.duty.Queue().Send(message{control: func(h *handler) { h.identity.knowledge.Confirm(at) }})
}

// of returns the organisation that owns the key of a request, or the reason why the
// request cannot be authenticated.
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
