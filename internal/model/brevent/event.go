// Package brevent provides the typed events of the timeline.
//
// An event records what happened, its time on the hybrid logical clock, the VM
// and its failure domain, and what it concerns: organisation, request, move,
// resource.
//
// # Usage
//
//	event := brevent.New(brevent.KindRequestAnswered).
//		WithOrganisation("taller-norte").
//		WithRequest(id).
//		WithDetail("status", "200")
//
// The timeline adds the timestamp, the VM and the failure domain.
package brevent

import (
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brlabel"
)

// Kind is the type of an event.
type Kind string

// The general kinds of events. Those of each subsystem are in a separate file.
const (
	KindVMStarted              Kind = "vm-started"
	KindVMLeaving              Kind = "vm-leaving"
	KindVMStopped              Kind = "vm-stopped"
	KindDutyStalled            Kind = "duty-stalled"
	KindDutyPanicked           Kind = "duty-panicked"
	KindHandlerPanicked        Kind = "handler-panicked"
	KindConfigurationActivated Kind = "configuration-in-force"
	KindLookup                 Kind = "lookup"
	KindRequestAdmitted        Kind = "request-admitted"
	KindRequestRefused         Kind = "request-refused"
	KindRequestSent            Kind = "request-sent"
	KindRequestAnswered        Kind = "request-answered"
)

// Event is one entry of the timeline. It is immutable.
type Event struct {
	kind         Kind
	timestamp    brclock.Timestamp
	vm           string
	domain       string
	organisation string
	request      string
	move         string
	resource     string
	details      brlabel.Labels
}

// New returns an event of a kind, without a timestamp.
func New(kind Kind) Event {
	return Event{kind: kind}
}

// WithOrigin returns the event with its timestamp, VM and failure domain.
func (e Event) WithOrigin(timestamp brclock.Timestamp, vm, domain string) Event {
	e.timestamp = timestamp
	e.vm = vm
	e.domain = domain
	return e
}

// WithOrganisation returns the event with the organisation's name.
func (e Event) WithOrganisation(name string) Event {
	e.organisation = name
	return e
}

// WithRequest returns the event with the request's identifier.
func (e Event) WithRequest(id string) Event {
	e.request = id
	return e
}

// WithMove returns the event with the name of the move, which shifts the traffic of
// a service to another version.
func (e Event) WithMove(name string) Event {
	e.move = name
	return e
}

// WithResource returns the event with the name of the resource.
func (e Event) WithResource(name string) Event {
	e.resource = name
	return e
}

// WithDetail returns the event with an additional detail.
func (e Event) WithDetail(name, value string) Event {
	e.details = e.details.With(name, value)
	return e
}

// WithDetails returns the event with its details replaced.
func (e Event) WithDetails(details brlabel.Labels) Event {
	e.details = details
	return e
}

// Kind returns the type of the event.
func (e Event) Kind() Kind { return e.kind }

// Timestamp returns the timestamp.
func (e Event) Timestamp() brclock.Timestamp { return e.timestamp }

// VM returns the name of the VM on which the event happened.
func (e Event) VM() string { return e.vm }

// Domain returns the failure domain of the VM.
func (e Event) Domain() string { return e.domain }

// Organisation returns the organisation's name, or "" if there is none.
func (e Event) Organisation() string { return e.organisation }

// Request returns the request's identifier, or "" if there is none.
func (e Event) Request() string { return e.request }

// Move returns the move's name, or "" if there is none.
func (e Event) Move() string { return e.move }

// Resource returns the name of the resource, or "" if there is none.
func (e Event) Resource() string { return e.resource }

// Details returns the details by name.
func (e Event) Details() brlabel.Labels { return e.details }
