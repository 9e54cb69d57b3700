package brplacement

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Outcome describes how a request to a server ended. It is immutable.
type Outcome struct {
	server     brfleet.Server
	kind       brrequest.OutcomeKind
	latency    time.Duration
	report     brfleet.ServerReport
	request    broption.Option[brrequest.Fingerprint]
	serverDown bool
}

// NewOutcome returns the outcome of a request to a server, with the time that the
// server took for it.
func NewOutcome(server brfleet.Server, kind brrequest.OutcomeKind, latency time.Duration) Outcome {
	return Outcome{server: server, kind: kind, latency: latency}
}

// WithServer returns the outcome of a request to another server.
func (o Outcome) WithServer(server brfleet.Server) Outcome {
	o.server = server
	return o
}

// WithReport returns the outcome with what the server said about itself.
func (o Outcome) WithReport(report brfleet.ServerReport) Outcome {
	o.report = report
	return o
}

// WithRequest returns the outcome with the fingerprint of the request.
func (o Outcome) WithRequest(fingerprint brrequest.Fingerprint) Outcome {
	o.request = broption.Some(fingerprint)
	return o
}

// WithServerDown returns the outcome with whether a check after the request found that the
// server is not running.
func (o Outcome) WithServerDown(isDown bool) Outcome {
	o.serverDown = isDown
	return o
}

// Server returns the server to which the request was sent.
func (o Outcome) Server() brfleet.Server { return o.server }

// Report returns what the server said about itself.
func (o Outcome) Report() brfleet.ServerReport { return o.report }

// Kind returns how the request ended.
func (o Outcome) Kind() brrequest.OutcomeKind { return o.kind }

// Latency returns the time that the server took for the request.
func (o Outcome) Latency() time.Duration { return o.latency }
