package brwitness

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// Attestations collects the attestations of one round of queries to all witnesses. It
// is not safe for concurrent use.
type Attestations struct {
	askedAt time.Time
	missing brset.Set[string]
	refuted bool
}

// NewAttestations starts a round of queries to all witnesses. askedAt must not be
// later than the first query.
func NewAttestations(witnesses []string, askedAt time.Time) *Attestations {
	return &Attestations{askedAt: askedAt, missing: brset.New(witnesses...), refuted: len(witnesses) == 0}
}

// Add adds the answer of a witness: whether it can attest that no announced write is
// pending, and whether it has the same head as the VM that asks.
func (a *Attestations) Add(witness string, canAttest, sameHead bool) {
	if !canAttest || !sameHead {
		a.refuted = true
		return
	}
	a.missing.Remove(witness)
}

// Confirmed returns the time up to which no newer configuration was accepted, if
// all witnesses have attested it.
func (a *Attestations) Confirmed() broption.Option[time.Time] {
	if a.refuted || a.missing.Len() > 0 {
		return broption.None[time.Time]()
	}
	return broption.Some(a.askedAt)
}
