// Package brclaimrow encodes idempotency claims, and the responses recorded for
// them, as JSON rows of the platform's table store.
//
// A claim reserves an Idempotency-Key for one attempt of a request, so that the
// request runs at most once.
//
// # Usage
//
//	key := brclaimrow.Key(claim.ID())
//	data, err := brclaimrow.Encode(record)
//	record, err = brclaimrow.Decode(data)
package brclaimrow

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

// Prefix is the key prefix of all claim rows.
const Prefix = "claims/"

// Key returns the row key of a claim.
func Key(id brclaim.ID) string {
	return Prefix + string(id)
}

type recordDocument struct {
	ID          string            `json:"id"`
	Nonce       string            `json:"nonce"`
	Fingerprint string            `json:"fingerprint"`
	VM          string            `json:"vm"`
	CreatedAt   time.Time         `json:"at"`
	Deadline    time.Time         `json:"deadline"`
	State       string            `json:"state"`
	Response    *responseDocument `json:"answer,omitempty"`
}

type responseDocument struct {
	Status int                 `json:"status"`
	Fields map[string][]string `json:"fields,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Encode encodes a claim record as JSON.
func Encode(record brclaim.Record) ([]byte, error) {
	claim := record.Claim()
	document := recordDocument{
		ID:          string(claim.ID()),
		Nonce:       claim.Nonce(),
		Fingerprint: string(claim.Fingerprint()),
		VM:          claim.VM(),
		CreatedAt:   claim.CreatedAt(),
		Deadline:    claim.Deadline(),
		State:       string(record.State()),
	}
	if response, ok := record.Response().Get(); ok {
		document.Response = newResponseDocument(response)
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Errorf("encode claim: %w", err)
	}
	return data, nil
}

// Decode decodes a claim record from JSON.
func Decode(data []byte) (brclaim.Record, error) {
	var document recordDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return brclaim.Record{}, errors.Errorf("decode claim: %w", err)
	}
	claim := brclaim.NewClaim(
		brclaim.ID(document.ID),
		document.Nonce,
		brclaim.Fingerprint(document.Fingerprint),
		document.VM,
		document.CreatedAt,
		document.Deadline,
	)
	record := brclaim.NewRecord(claim)
	if document.Response != nil {
		response := document.Response
		return record.WithResponse(brclaim.NewResponse(response.Status, brmessage.NewFields(response.Fields), response.Body)), nil
	}
	return record.WithState(brclaim.State(document.State)), nil
}

func newResponseDocument(response brclaim.Response) *responseDocument {
	document := &responseDocument{Status: response.Status(), Fields: map[string][]string{}, Body: response.Body()}
	for name, values := range response.Fields().All() {
		document.Fields[name] = values
	}
	return document
}
