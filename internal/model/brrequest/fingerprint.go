package brrequest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Fingerprint identifies a request by its content (route, method, target and
// body), irrespective of the caller.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request. The body is nil if it is
// too large to be buffered; its size in bytes is always included.
func NewFingerprint(route, method, target string, body []byte, size int64) Fingerprint {
	input := []byte{}
	for _, part := range [][]byte{[]byte(route), []byte(method), []byte(target), body} {
		input = binary.BigEndian.AppendUint64(input, uint64(len(part)))
		input = append(input, part...)
	}
	return sha256.Sum256(binary.BigEndian.AppendUint64(input, uint64(size)))
}

// ParseFingerprint parses the format that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	f := Fingerprint{}
	bytes, err := hex.DecodeString(text)
	if err != nil {
		return f, errors.Errorf("decode fingerprint: %w", err)
	}
	if len(bytes) != len(f) {
		return f, errors.Errorf("fingerprint has %d bytes, want %d", len(bytes), len(f))
	}
	copy(f[:], bytes)
	return f, nil
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
