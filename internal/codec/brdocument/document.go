// Package brdocument encodes the documents of the configuration as JSON: resources,
// deltas, snapshots, heads, journal entries and shares of rate limits. It also defines the
// row keys and object names under which they are stored.
//
// A resource is an object with kind, name, team, labels and spec. Unknown fields
// are rejected, so that a misspelt field is not silently ignored.
//
// # Usage
//
//	resources, err := brdocument.DecodeResources(data)
//	data, err = brdocument.EncodeDelta(delta)
package brdocument

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlabel"
)

type resourceDocument struct {
	Kind   string            `json:"kind"`
	Name   string            `json:"name"`
	Team   string            `json:"team,omitempty"`
	Labels map[string]string `json:"labels,omitempty"`
	Spec   json.RawMessage   `json:"spec,omitempty"`
}

// specDocument is the kind-specific part of a resource document.
type specDocument interface {
	resource(meta brconfig.Meta) (brconfig.Resource, error)
}

// DecodeResources decodes a JSON resource or an array of resources.
func DecodeResources(data []byte) ([]brconfig.Resource, error) {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		return decodeArray(data)
	}
	r, err := decodeResource(data)
	if err != nil {
		return nil, err
	}
	return []brconfig.Resource{r}, nil
}

// EncodeResource encodes a resource as JSON.
func EncodeResource(resource brconfig.Resource) ([]byte, error) {
	document, err := newResourceDocument(resource)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Errorf("encode %s %q: %w", resource.Kind(), resource.Name(), err)
	}
	return data, nil
}

func decodeArray(data []byte) ([]brconfig.Resource, error) {
	var raw []json.RawMessage
	if err := decodeStrict(data, &raw); err != nil {
		return nil, errors.Errorf("decode array of resources: %w", err)
	}
	resources := make([]brconfig.Resource, 0, len(raw))
	for i, item := range raw {
		r, err := decodeResource(item)
		if err != nil {
			return nil, errors.Errorf("resource %d: %w", i, err)
		}
		resources = append(resources, r)
	}
	return resources, nil
}

func decodeResource(data []byte) (brconfig.Resource, error) {
	var document resourceDocument
	if err := decodeStrict(data, &document); err != nil {
		return nil, errors.Errorf("decode resource: %w", err)
	}
	if document.Name == "" {
		return nil, errors.Errorf("%s: name is missing", document.Kind)
	}
	spec, err := emptySpec(brconfig.Kind(document.Kind))
	if err != nil {
		return nil, err
	}
	if len(document.Spec) > 0 {
		if err := decodeStrict(document.Spec, spec); err != nil {
			return nil, errors.Errorf("%s %q: decode spec: %w", document.Kind, document.Name, err)
		}
	}
	meta := brconfig.NewMeta(document.Name).WithTeam(document.Team).WithLabels(brlabel.New(document.Labels))
	r, err := spec.resource(meta)
	if err != nil {
		return nil, errors.Errorf("%s %q: %w", document.Kind, document.Name, err)
	}
	return r, nil
}

func newResourceDocument(resource brconfig.Resource) (resourceDocument, error) {
	spec, err := newSpecDocument(resource)
	if err != nil {
		return resourceDocument{}, err
	}
	raw, err := json.Marshal(spec)
	if err != nil {
		return resourceDocument{}, errors.Errorf("encode spec of %s %q: %w", resource.Kind(), resource.Name(), err)
	}
	document := resourceDocument{
		Kind: string(resource.Kind()),
		Name: resource.Name(),
		Team: resource.Team(),
		Spec: raw,
	}
	for name, value := range resource.Labels().All() {
		if document.Labels == nil {
			document.Labels = map[string]string{}
		}
		document.Labels[name] = value
	}
	return document, nil
}

func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Errorf("decode JSON: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}
