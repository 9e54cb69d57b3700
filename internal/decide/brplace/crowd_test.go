package brplace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var crowdStart = time.Unix(1000, 0)

// Pattern: other VMs keep a server full without a pause, and this VM gets an
// answer from it now and then.
func TestCrowdThatStaysIsNotTakenToHaveLeft(t *testing.T) {
	const others = 8.0
	c := crowd{}
	now := crowdStart
	for range 20 {
		now = now.Add(250 * time.Millisecond)
		c.learn(now, others)
	}
	for age := time.Duration(0); age <= 500*time.Millisecond; age += 50 * time.Millisecond {
		require.InDelta(t, others, c.now(now.Add(age)), others/4, "%v after an answer", age)
	}
}

// Pattern: a burst through another VM passes.
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

// Pattern: a server was full and nobody hears of it any more; it is tried again.
func TestCrowdThatNobodyHearsOfIsForgotten(t *testing.T) {
	c := crowd{}
	for i := range 20 {
		c.learn(crowdStart.Add(time.Duration(i)*250*time.Millisecond), 8)
	}
	require.Less(t, c.now(crowdStart.Add(15*time.Second)), 1.0)
	require.GreaterOrEqual(t, c.now(crowdStart.Add(time.Hour)), 0.0)
}
