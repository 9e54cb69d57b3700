package brclaim

import (
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// Response holds what a backend server returned, stored to be replayed to repeated
// requests. It is immutable.
type Response struct {
	status int
	fields brmessage.Fields
	body   []byte
}

// NewResponse returns a response. It copies neither fields nor body; they must not be
// modified afterwards.
func NewResponse(status int, fields brmessage.Fields, body []byte) Response {
	return Response{status: status, fields: fields, body: body}
}

// Status returns the status code.
func (r Response) Status() int { return r.status }

// Fields returns the header fields.
func (r Response) Fields() brmessage.Fields { return r.fields }

// Body returns the body.
func (r Response) Body() []byte { return r.body }

// State is the progress of a claim's attempt.
type State string

// The states of a claim.
const (
	// StateClaimed means that the attempt may run, or ran without recording its outcome.
	StateClaimed State = "claimed"
	// StateAnswered means that the attempt ran and its response is stored.
	StateAnswered State = "answered"
	// StateRan means that the attempt ran and its response is too large to store.
	StateRan State = "ran"
	// StateUnknown means that the attempt ended and may have run.
	StateUnknown State = "unknown"
)

// Record is the stored state of a claim. It is immutable.
type Record struct {
	claim    Claim
	state    State
	response broption.Option[Response]
}

// NewRecord returns the record of a claim in StateClaimed.
func NewRecord(claim Claim) Record {
	return Record{claim: claim, state: StateClaimed}
}

// WithState returns the record in another state, without a response.
func (r Record) WithState(state State) Record {
	r.state = state
	r.response = broption.None[Response]()
	return r
}

// WithResponse returns the record in StateAnswered, with the response.
func (r Record) WithResponse(response Response) Record {
	r.state = StateAnswered
	r.response = broption.Some(response)
	return r
}

// Claim returns the claim.
func (r Record) Claim() Claim { return r.claim }

// State returns the progress of the attempt.
func (r Record) State() State { return r.state }

// Response returns the stored response, if there is one.
func (r Record) Response() broption.Option[Response] { return r.response }
