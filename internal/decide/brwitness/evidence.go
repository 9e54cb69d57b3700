package brwitness

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// Evidence collects the attestations of one round of questions. It has one owner.
type Evidence struct {
	asked   time.Time
	missing brset.Set[string]
	refuted bool
}

// NewEvidence returns a round of questions to all witnesses, asked at a time
// or later.
func NewEvidence(witnesses []string, asked time.Time) *Evidence {
	return &Evidence{asked: asked, missing: brset.New(witnesses...), refuted: len(witnesses) == 0}
}

// Add takes the answer of a witness: whether it is quiet and holds the asker's
// own head.
func (e *Evidence) Add(witness string, quiet, sameHead bool) {
	if !quiet || !sameHead {
		e.refuted = true
		return
	}
	e.missing.Remove(witness)
}

// Confirmed returns the time at which no newer configuration was accepted, if
// all witnesses attest it.
func (e *Evidence) Confirmed() broption.Option[time.Time] {
	if e.refuted || e.missing.Len() > 0 {
		return broption.None[time.Time]()
	}
	return broption.Some(e.asked)
}
