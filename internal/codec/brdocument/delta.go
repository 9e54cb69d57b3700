package brdocument

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Delta is the set of changes that one accepted operation makes to the configuration.
type Delta struct {
	previous  Head
	operation string
	author    string
	changes   []brconfig.Change
}

// NewDelta returns the delta that follows the previous head. A writer that did not
// receive the response to its write recognises its own delta by the identifier of
// the operation.
func NewDelta(previous Head, operation, author string, changes []brconfig.Change) Delta {
	return Delta{previous: previous, operation: operation, author: author, changes: changes}
}

// Previous returns the head that the delta follows.
func (d Delta) Previous() Head { return d.previous }

// Generation returns the generation that the delta creates.
func (d Delta) Generation() uint64 { return d.previous.generation + 1 }

// Operation returns the identifier of the operation.
func (d Delta) Operation() string { return d.operation }

// Author returns the author of the change.
func (d Delta) Author() string { return d.author }

// Changes returns the changes. The caller must not modify the slice.
func (d Delta) Changes() []brconfig.Change { return d.changes }

type deltaDocument struct {
	Previous  headDocument     `json:"previous"`
	Operation string           `json:"operation"`
	Author    string           `json:"author,omitempty"`
	Changes   []changeDocument `json:"changes"`
}

type changeDocument struct {
	Put    json.RawMessage    `json:"put,omitempty"`
	Delete *referenceDocument `json:"delete,omitempty"`
}

type referenceDocument struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// EncodeDelta encodes a delta as JSON.
func EncodeDelta(delta Delta) ([]byte, error) {
	document := deltaDocument{
		Previous:  newHeadDocument(delta.previous),
		Operation: delta.operation,
		Author:    delta.author,
		Changes:   make([]changeDocument, 0, len(delta.changes)),
	}
	for _, c := range delta.changes {
		change, err := newChangeDocument(c)
		if err != nil {
			return nil, err
		}
		document.Changes = append(document.Changes, change)
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Errorf("encode delta %d: %w", delta.Generation(), err)
	}
	return data, nil
}

// DecodeDelta decodes a delta from JSON.
func DecodeDelta(data []byte) (Delta, error) {
	var document deltaDocument
	if err := decodeStrict(data, &document); err != nil {
		return Delta{}, errors.Errorf("decode delta: %w", err)
	}
	changes := make([]brconfig.Change, 0, len(document.Changes))
	for i, c := range document.Changes {
		change, err := c.change()
		if err != nil {
			return Delta{}, errors.Errorf("change %d of delta %q: %w", i, document.Operation, err)
		}
		changes = append(changes, change)
	}
	return NewDelta(document.Previous.head(), document.Operation, document.Author, changes), nil
}

func newChangeDocument(change brconfig.Change) (changeDocument, error) {
	resource, isPut := change.Resource().Get()
	if !isPut {
		reference := change.Reference()
		return changeDocument{Delete: &referenceDocument{Kind: string(reference.Kind()), Name: reference.Name()}}, nil
	}
	data, err := EncodeResource(resource)
	if err != nil {
		return changeDocument{}, err
	}
	return changeDocument{Put: data}, nil
}

func (c changeDocument) change() (brconfig.Change, error) {
	if c.Delete != nil && c.Put != nil {
		return brconfig.Change{}, errors.New("both put and delete")
	}
	if c.Delete != nil {
		return brconfig.Delete(brconfig.NewReference(brconfig.Kind(c.Delete.Kind), c.Delete.Name)), nil
	}
	resource, err := decodeResource(c.Put)
	if err != nil {
		return brconfig.Change{}, err
	}
	return brconfig.Put(resource), nil
}
