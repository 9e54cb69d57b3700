package brrequest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Fingerprint recognises a request by what it is: route, method, target and
// body, not who sends it.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request. The body is nil where it
// is too large to be kept; its size in bytes counts in any case.
func NewFingerprint(route, method, target string, body []byte, size int64) Fingerprint {
	parts := []byte{}
	for _, part := range [][]byte{[]byte(route), []byte(method), []byte(target), body} {
		parts = binary.BigEndian.AppendUint64(parts, uint64(len(part)))
		parts = append(parts, part...)
	}
	return sha256.Sum256(binary.BigEndian.AppendUint64(parts, uint64(size)))
}

// ParseFingerprint returns the fingerprint that String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	f := Fingerprint{}
	bytes, err := hex.DecodeString(text)
	if err != nil {
		return f, errors.Errorf("decode fingerprint: %w", err)
	}
	if len(bytes) != len(f) {
		return f, errors.Errorf("fingerprint has %d bytes, not %d", len(bytes), len(f))
	}
	copy(f[:], bytes)
	return f, nil
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
