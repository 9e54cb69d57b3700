package bradmin

import (
	"encoding/json"
	"time"
)

type changeReply struct {
	Generation uint64   `json:"generation"`
	Operation  string   `json:"operation"`
	Repeated   bool     `json:"repeated"`
	Warnings   []string `json:"warnings"`
}

// ChangeResult is the result of an accepted change.
type ChangeResult struct {
	raw        json.RawMessage
	generation uint64
	operation  string
	warnings   []string
}

func newChangeResult(raw json.RawMessage, reply changeReply) ChangeResult {
	return ChangeResult{raw: raw, generation: reply.Generation, operation: reply.Operation, warnings: reply.Warnings}
}

// Raw returns the unparsed response.
func (r ChangeResult) Raw() json.RawMessage { return r.raw }

// Generation returns the generation that the change created.
func (r ChangeResult) Generation() uint64 { return r.generation }

// Operation returns the identifier of the operation.
func (r ChangeResult) Operation() string { return r.operation }

// Warnings returns the warnings to show to the operator.
func (r ChangeResult) Warnings() []string { return r.warnings }

type planReply struct {
	Generation uint64      `json:"generation"`
	Steps      []stepReply `json:"steps"`
	Warnings   []string    `json:"warnings"`
}

type stepReply struct {
	Action string `json:"action"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
}

// Step is the planned change of one resource.
type Step struct {
	action string
	kind   string
	name   string
}

// Action returns "create", "change" or "delete".
func (s Step) Action() string { return s.action }

// Kind returns the kind of the resource.
func (s Step) Kind() string { return s.kind }

// Name returns the name of the resource.
func (s Step) Name() string { return s.name }

// Plan is the result of a dry run of a change.
type Plan struct {
	raw      json.RawMessage
	steps    []Step
	warnings []string
}

func newPlan(raw json.RawMessage, reply planReply) Plan {
	plan := Plan{raw: raw, warnings: reply.Warnings}
	for _, s := range reply.Steps {
		plan.steps = append(plan.steps, Step{action: s.Action, kind: s.Kind, name: s.Name})
	}
	return plan
}

// Raw returns the unparsed response.
func (p Plan) Raw() json.RawMessage { return p.raw }

// Steps returns the planned changes. The caller must not change the slice.
func (p Plan) Steps() []Step { return p.steps }

// Warnings returns the warnings to show to the operator.
func (p Plan) Warnings() []string { return p.warnings }

type resourceDocument struct {
	Kind   string            `json:"kind"`
	Name   string            `json:"name"`
	Team   string            `json:"team"`
	Labels map[string]string `json:"labels"`
	Spec   json.RawMessage   `json:"spec"`
}

type listReply struct {
	Generation uint64             `json:"generation"`
	Resources  []resourceDocument `json:"resources"`
}

type resourceReply struct {
	Generation uint64           `json:"generation"`
	Resource   resourceDocument `json:"resource"`
}

// Resource is a configuration resource as returned by the API.
type Resource struct {
	kind   string
	name   string
	team   string
	labels map[string]string
	spec   json.RawMessage
}

// Kind returns the kind.
func (r Resource) Kind() string { return r.kind }

// Name returns the name.
func (r Resource) Name() string { return r.name }

// Team returns the team that owns the resource, or "" if none does.
func (r Resource) Team() string { return r.team }

// Labels returns the labels. The caller must not change the map.
func (r Resource) Labels() map[string]string { return r.labels }

// Spec returns the part of the resource that is specific to its kind, as JSON.
func (r Resource) Spec() json.RawMessage { return r.spec }

// List is a list of resources at one generation.
type List struct {
	raw        json.RawMessage
	generation uint64
	resources  []Resource
}

func newList(raw json.RawMessage, reply listReply) List {
	list := List{raw: raw, generation: reply.Generation}
	for _, r := range reply.Resources {
		list.resources = append(list.resources, Resource{kind: r.Kind, name: r.Name, team: r.Team, labels: r.Labels, spec: r.Spec})
	}
	return list
}

// Raw returns the unparsed response.
func (l List) Raw() json.RawMessage { return l.raw }

// Generation returns the generation at which the resources were read.
func (l List) Generation() uint64 { return l.generation }

// Resources returns the resources. The caller must not change the slice.
func (l List) Resources() []Resource { return l.resources }

type entryReply struct {
	Generation uint64    `json:"generation"`
	Operation  string    `json:"operation"`
	Author     string    `json:"author"`
	Team       string    `json:"team"`
	Time       time.Time `json:"time"`
	Changed    int       `json:"changed"`
	Resources  []string  `json:"resources"`
}

type historyReply struct {
	Entries []entryReply `json:"entries"`
}

// Entry is one accepted change of the history.
type Entry struct {
	generation uint64
	operation  string
	author     string
	team       string
	time       time.Time
	changed    int
	resources  []string
}

// Generation returns the generation that the change created.
func (e Entry) Generation() uint64 { return e.generation }

// Operation returns the identifier of the operation.
func (e Entry) Operation() string { return e.operation }

// Author returns the operator who made the change.
func (e Entry) Author() string { return e.author }

// Team returns the team of the author, or "" for an operator of the platform.
func (e Entry) Team() string { return e.team }

// Time returns when the change was made.
func (e Entry) Time() time.Time { return e.time }

// Changed returns the number of changed resources.
func (e Entry) Changed() int { return e.changed }

// Resources returns the changed resources, up to a limit. The caller must not change the slice.
func (e Entry) Resources() []string { return e.resources }

// History is a list of accepted changes, newest first.
type History struct {
	raw     json.RawMessage
	entries []Entry
}

func newHistory(raw json.RawMessage, reply historyReply) History {
	history := History{raw: raw}
	for _, e := range reply.Entries {
		history.entries = append(history.entries, Entry{
			generation: e.Generation,
			operation:  e.Operation,
			author:     e.Author,
			team:       e.Team,
			time:       e.Time,
			changed:    e.Changed,
			resources:  e.Resources,
		})
	}
	return history
}

// Raw returns the unparsed response.
func (h History) Raw() json.RawMessage { return h.raw }

// Entries returns the changes. The caller must not change the slice.
func (h History) Entries() []Entry { return h.entries }

type statusReply struct {
	VM         string         `json:"vm"`
	Generation uint64         `json:"generation"`
	Resources  map[string]int `json:"resources"`
}

// Status is the status of a VM.
type Status struct {
	raw        json.RawMessage
	vm         string
	generation uint64
	resources  map[string]int
}

// Raw returns the unparsed response.
func (s Status) Raw() json.RawMessage { return s.raw }

// VM returns the name of the VM.
func (s Status) VM() string { return s.vm }

// Generation returns the configuration generation of the VM.
func (s Status) Generation() uint64 { return s.generation }

// Resources returns the number of resources by kind. The caller must not change the map.
func (s Status) Resources() map[string]int { return s.resources }
