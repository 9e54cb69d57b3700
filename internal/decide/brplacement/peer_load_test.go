package brplacement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var loadStart = time.Unix(1000, 0)

// Other VMs keep a server full all the time, and this VM gets an answer from it
// only now and then. The estimate must not drop between the answers.
func TestSteadyPeerLoadDoesNotDecayBetweenReports(t *testing.T) {
	const peerRequests = 8.0
	load := peerLoad{}
	now := loadStart
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		load.observe(now, peerRequests)
	}
	for age := time.Duration(0); age <= 500*time.Millisecond; age += 50 * time.Millisecond {
		require.InDelta(t, peerRequests, load.estimate(now.Add(age)), peerRequests/4, "estimate %v after an answer", age)
	}
}

// Another VM sends a short burst. The estimate must fall back to the mean soon.
func TestPeerLoadAboveTheMeanDecaysFast(t *testing.T) {
	load := peerLoad{}
	now := loadStart
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		load.observe(now, 1)
	}
	load.observe(now.Add(10*time.Millisecond), 9)
	require.Greater(t, load.estimate(now.Add(50*time.Millisecond)), 7.0)
	require.Less(t, load.estimate(now.Add(time.Second)), 2.0)
}

// A server was full when it last answered. The estimate must decay so that the
// server is tried again.
func TestPeerLoadDecaysWithoutReports(t *testing.T) {
	load := peerLoad{}
	for i := range 20 {
		load.observe(loadStart.Add(time.Duration(i)*250*time.Millisecond), 8)
	}
	require.Less(t, load.estimate(loadStart.Add(15*time.Second)), 1.0)
	require.GreaterOrEqual(t, load.estimate(loadStart.Add(time.Hour)), 0.0)
}
