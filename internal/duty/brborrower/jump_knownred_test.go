//go:build knownred

package brborrower_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The target is less than 1% refusals within 2 s after the traffic of an organisation
// moves to another VM.
func TestKnownRedOrganisationThatJumpsIsRarelyRefused(t *testing.T) {
	for _, interval := range []time.Duration{2 * time.Second, 5 * time.Second} {
		testFleet(t, fleetSize, 2, "100", "50", time.Second, func(t *testing.T, f *fleet) {
			sent, refused := f.run(2*time.Minute, requestInterval, func(elapsed time.Duration) int {
				return int(elapsed/interval) * 5 % fleetSize
			})
			t.Logf("traffic moves every %v: %d of %d refused", interval, refused, sent)
			require.Less(t, refused*100, sent)
		})
	}
}
