package brclaim

import (
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// Answer is an answer that is kept for a repetition. It is immutable.
type Answer struct {
	status int
	fields brmessage.Fields
	body   []byte
}

// NewAnswer returns an answer with a copy of nothing: fields and body must not
// be changed afterwards.
func NewAnswer(status int, fields brmessage.Fields, body []byte) Answer {
	return Answer{status: status, fields: fields, body: body}
}

// Status returns the status code.
func (a Answer) Status() int { return a.status }

// Fields returns the header fields.
func (a Answer) Fields() brmessage.Fields { return a.fields }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// State says how far the attempt of a claim came.
type State string

// The states of a claim.
const (
	// StateClaimed means that the attempt may run, or ran without leaving word.
	StateClaimed State = "claimed"
	// StateAnswered means that the attempt ran and its answer is kept.
	StateAnswered State = "answered"
	// StateRan means that the attempt ran and its answer is too large to keep.
	StateRan State = "ran"
	// StateUnknown means that the attempt ended and may have run.
	StateUnknown State = "unknown"
)

// Record is what is kept of a claim. It is immutable.
type Record struct {
	claim  Claim
	state  State
	answer broption.Option[Answer]
}

// NewRecord returns the record of a claim whose attempt may run.
func NewRecord(claim Claim) Record {
	return Record{claim: claim, state: StateClaimed}
}

// WithState returns the record in another state, without answer.
func (r Record) WithState(state State) Record {
	r.state = state
	r.answer = broption.None[Answer]()
	return r
}

// WithAnswer returns the record of an attempt that ran, with its answer.
func (r Record) WithAnswer(answer Answer) Record {
	r.state = StateAnswered
	r.answer = broption.Some(answer)
	return r
}

// Claim returns the claim.
func (r Record) Claim() Claim { return r.claim }

// State returns how far the attempt came.
func (r Record) State() State { return r.state }

// Answer returns the kept answer, if there is one.
func (r Record) Answer() broption.Option[Answer] { return r.answer }
