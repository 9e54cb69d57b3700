package brrequest

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// Guards against a poison request with another fingerprint on each VM, because its body
// arrived in other parts.
func TestFingerprintDoesNotDependOnTheParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		size := rapid.Int64Range(-1, 100).Draw(t, "size")
		parts, rest := [][]byte{}, body
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		require.Equal(t, NewFingerprint("r", "POST", "/a", body, size), NewFingerprintOfParts("r", "POST", "/a", parts, size))
	})
}

// Guards against VMs of two versions that give the same request two fingerprints.
func TestFingerprintStaysAsItIs(t *testing.T) {
	fingerprint := NewFingerprint("entries", "POST", "/entries?id=7", []byte("body"), 4)
	require.Equal(t, "672a23606f72194064d2eb11ea0ed08c82c7896b710ecbd6b4f07233ddc2875f", fingerprint.String())
}
