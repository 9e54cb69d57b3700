package brentryvm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests cut off in a planned stop (LOST): whatever the grace period, the VM
// accepts none so late that they have little time, and waits into its last sixth for those
// that run.
func TestStopWaitsIntoLastSixthOfGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		drain, end := stopTimes(grace)
		require.LessOrEqual(t, drain, grace/4, "grace period of %v", grace)
		require.Greater(t, end, grace-grace/6, "grace period of %v", grace)
		require.Less(t, end, grace, "grace period of %v", grace)
	}
}
