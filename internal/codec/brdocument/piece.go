package brdocument

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// targetPieceBytes is the size at which no further resource is added to a piece.
const targetPieceBytes = 512 << 10

// Piece is a part of a snapshot: an encoded array of resources.
type Piece struct {
	data []byte
	last brconfig.Reference
	more bool
}

// Data returns the encoded resources; DecodeResources reads them.
func (p Piece) Data() []byte { return p.data }

// Last returns the last resource of the piece, after which the next piece starts.
func (p Piece) Last() brconfig.Reference { return p.last }

// More reports whether another piece follows.
func (p Piece) More() bool { return p.more }

// EncodePiece encodes the resources of a snapshot that follow the given one in the
// order of kind and name, up to the size limit of a piece. The zero reference
// starts at the first resource.
func EncodePiece(snapshot *brconfig.Snapshot, after brconfig.Reference) (Piece, error) {
	var buffer bytes.Buffer
	buffer.WriteByte('[')
	piece := Piece{last: after}
	for _, kind := range snapshot.Kinds() {
		if kind < after.Kind() {
			continue
		}
		name := ""
		if kind == after.Kind() {
			name = after.Name()
		}
		for resource := range snapshot.AllAfter(kind, name) {
			if buffer.Len() >= targetPieceBytes {
				piece.more = true
				break
			}
			if err := appendResource(&buffer, resource); err != nil {
				return Piece{}, err
			}
			piece.last = brconfig.NewReference(kind, resource.Name())
		}
		if piece.more {
			break
		}
	}
	buffer.WriteByte(']')
	piece.data = buffer.Bytes()
	return piece, nil
}

func appendResource(buffer *bytes.Buffer, resource brconfig.Resource) error {
	data, err := EncodeResource(resource)
	if err != nil {
		return err
	}
	if buffer.Len() > 1 {
		buffer.WriteByte(',')
	}
	buffer.Write(data)
	return nil
}

// AssembleSnapshot decodes the snapshot of a generation from all its pieces.
func AssembleSnapshot(generation uint64, pieces [][]byte) (*brconfig.Snapshot, error) {
	changes := []brconfig.Change{}
	for i, data := range pieces {
		resources, err := DecodeResources(data)
		if err != nil {
			return nil, errors.Errorf("piece %d of snapshot %d: %w", i, generation, err)
		}
		for _, r := range resources {
			changes = append(changes, brconfig.Put(r))
		}
	}
	snapshot, err := brconfig.NewSnapshot().Apply(generation, changes)
	if err != nil {
		return nil, errors.Errorf("assemble snapshot %d: %w", generation, err)
	}
	return snapshot, nil
}

// Manifest lists the pieces of a snapshot in the object store.
type Manifest struct {
	head    Head
	digests []string
}

// NewManifest returns the manifest of the snapshot at a head, with the digests of its pieces.
func NewManifest(head Head, digests []string) Manifest {
	return Manifest{head: head, digests: digests}
}

// Head returns the head of the snapshot.
func (m Manifest) Head() Head { return m.head }

// Digests returns the digests of the pieces. The caller must not modify the slice.
func (m Manifest) Digests() []string { return m.digests }

// ManifestName returns the name of the object that holds the manifest of the snapshot at a head.
func ManifestName(head Head) string {
	return fmt.Sprintf("snapshots/%020d-%s/manifest.json", head.generation, head.operation)
}

// PieceName returns the name of the object that holds a piece of the snapshot at a head.
func PieceName(head Head, index int) string {
	return fmt.Sprintf("snapshots/%020d-%s/%06d.json", head.generation, head.operation, index)
}

type manifestDocument struct {
	Head    headDocument `json:"head"`
	Digests []string     `json:"digests"`
}

// EncodeManifest encodes a manifest as JSON.
func EncodeManifest(manifest Manifest) ([]byte, error) {
	data, err := json.Marshal(manifestDocument{Head: newHeadDocument(manifest.head), Digests: manifest.digests})
	if err != nil {
		return nil, errors.Errorf("encode manifest %d: %w", manifest.head.generation, err)
	}
	return data, nil
}

// DecodeManifest decodes a manifest from JSON.
func DecodeManifest(data []byte) (Manifest, error) {
	var document manifestDocument
	if err := decodeStrict(data, &document); err != nil {
		return Manifest{}, errors.Errorf("decode manifest: %w", err)
	}
	return NewManifest(document.Head.head(), document.Digests), nil
}

// RestorePiece returns a piece from the fields received from another VM.
func RestorePiece(data []byte, last brconfig.Reference, more bool) Piece {
	return Piece{data: data, last: last, more: more}
}
