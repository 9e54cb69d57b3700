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
	const others = 8.0
	c := peerLoad{}
	now := loadStart
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		c.observe(now, others)
	}
	for age := time.Duration(0); age <= 500*time.Millisecond; age += 50 * time.Millisecond {
		require.InDelta(t, others, c.estimate(now.Add(age)), others/4, "estimate %v after an answer", age)
	}
}

// Another VM sends a short burst. The estimate must fall back to the mean soon.
func TestPeerLoadAboveTheMeanDecaysFast(t *testing.T) {
	c := peerLoad{}
	now := loadStart
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		c.observe(now, 1)
	}
	c.observe(now.Add(10*time.Millisecond), 9)
	require.Greater(t, c.estimate(now.Add(50*time.Millisecond)), 7.0)
	require.Less(t, c.estimate(now.Add(time.Second)), 2.0)
}

// A server was full when it last answered. The estimate must decay so that the
// server is tried again.
func TestPeerLoadDecaysWithoutReports(t *testing.T) {
	c := peerLoad{}
	for i := range 20 {
		c.observe(loadStart.Add(time.Duration(i)*250*time.Millisecond), 8)
	}
	require.Less(t, c.estimate(loadStart.Add(15*time.Second)), 1.0)
	require.GreaterOrEqual(t, c.estimate(loadStart.Add(time.Hour)), 0.0)
}
