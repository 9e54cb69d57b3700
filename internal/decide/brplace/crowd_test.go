package brplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var crowdStart = time.Unix(1000, 0)

// Other VMs keep a server full all the time, and this VM gets an answer from it
// only now and then. The estimate must not drop between the answers.
func TestCrowdThatStaysIsNotTakenToHaveLeft(t *testing.T) {
	const others = 8.0
	c := crowd{}
	now := crowdStart
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		c.learn(now, others)
	}
	for age := time.Duration(0); age <= 500*time.Millisecond; age += 50 * time.Millisecond {
		require.InDelta(t, others, c.now(now.Add(age)), others/4, "estimate %v after an answer", age)
	}
}

// Another VM sends a short burst. The estimate must fall back to the mean soon.
func TestCrowdBeyondTheUsualIsTakenToLeaveSoon(t *testing.T) {
	c := crowd{}
	now := crowdStart
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		c.learn(now, 1)
	}
	c.learn(now.Add(10*time.Millisecond), 9)
	require.Greater(t, c.now(now.Add(50*time.Millisecond)), 7.0)
	require.Less(t, c.now(now.Add(time.Second)), 2.0)
}

// A server was full when it last answered. The estimate must decay so that the
// server is tried again.
func TestCrowdThatNobodyHearsOfIsForgotten(t *testing.T) {
	c := crowd{}
	for i := range 20 {
		c.learn(crowdStart.Add(time.Duration(i)*250*time.Millisecond), 8)
	}
	require.Less(t, c.now(crowdStart.Add(15*time.Second)), 1.0)
	require.GreaterOrEqual(t, c.now(crowdStart.Add(time.Hour)), 0.0)
}
