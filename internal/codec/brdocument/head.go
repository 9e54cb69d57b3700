package brdocument

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
)

// HeadKey is the key of the row that points to the latest generation.
const HeadKey = "configuration/head"

// Head identifies the latest accepted generation.
type Head struct {
	generation uint64
	operation  string
	digest     string
}

// NewHead returns the head that an operation creates with an encoded delta.
func NewHead(generation uint64, operation string, delta []byte) Head {
	return Head{generation: generation, operation: operation, digest: Digest(delta)}
}

// Generation returns the number of the generation.
func (h Head) Generation() uint64 { return h.generation }

// Operation returns the identifier of the operation that created the generation.
func (h Head) Operation() string { return h.operation }

// Digest returns the digest of the delta that created the generation.
func (h Head) Digest() string { return h.digest }

// DeltaName returns the name of the object that holds the delta.
func (h Head) DeltaName() string { return DeltaName(h.generation, h.operation) }

// DeltaName returns the name of the object that holds the delta of an operation.
func DeltaName(generation uint64, operation string) string {
	return fmt.Sprintf("deltas/%020d-%s.json", generation, operation)
}

// Digest returns the SHA-256 of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

type headDocument struct {
	Generation uint64 `json:"generation"`
	Operation  string `json:"operation"`
	Digest     string `json:"digest"`
}

// EncodeHead encodes a head as JSON.
func EncodeHead(head Head) ([]byte, error) {
	data, err := json.Marshal(newHeadDocument(head))
	if err != nil {
		return nil, errors.Errorf("encode head %d: %w", head.generation, err)
	}
	return data, nil
}

// DecodeHead decodes a head from JSON.
func DecodeHead(data []byte) (Head, error) {
	var document headDocument
	if err := decodeStrict(data, &document); err != nil {
		return Head{}, errors.Errorf("decode head: %w", err)
	}
	return document.head(), nil
}

func newHeadDocument(head Head) headDocument {
	return headDocument{Generation: head.generation, Operation: head.operation, Digest: head.digest}
}

func (d headDocument) head() Head {
	return Head{generation: d.Generation, operation: d.Operation, digest: d.Digest}
}

// RestoreHead returns a head from the fields received from another VM.
func RestoreHead(generation uint64, operation, digest string) Head {
	return Head{generation: generation, operation: operation, digest: digest}
}
