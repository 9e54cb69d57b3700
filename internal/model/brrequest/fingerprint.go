package brrequest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/go-faster/errors"
)

// Fingerprint identifies a request by its content (route, method, target and
// body), irrespective of the caller.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the fingerprint of a request. The body is nil if it is
// too large to be buffered; its size in bytes is always included.
func NewFingerprint(route, method, target string, body []byte, size int64) Fingerprint {
	return NewFingerprintOfParts(route, method, target, [][]byte{body}, size)
}

// NewFingerprintOfParts returns the same fingerprint for a body that is buffered in parts.
func NewFingerprintOfParts(route, method, target string, body [][]byte, size int64) Fingerprint {
	hash := sha256.New()
	for _, text := range []string{route, method, target} {
		writeSize(hash, len(text))
		_, _ = io.WriteString(hash, text)
	}
	total := 0
	for _, part := range body {
		total += len(part)
	}
	writeSize(hash, total)
	for _, part := range body {
		_, _ = hash.Write(part)
	}
	writeSize(hash, int(size))
	return Fingerprint(hash.Sum(nil))
}

func writeSize(hash io.Writer, size int) {
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(size)))
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
