package brschedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/standin/brschedule"
)

func TestRunUntilRunsEventsInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	schedule := brschedule.Schedule{}
	ran := []string{}
	add := func(after time.Duration, name string) {
		schedule.Add(start.Add(after), func() { ran = append(ran, name) })
	}
	add(3*time.Second, "third")
	add(time.Second, "first")
	schedule.Add(start.Add(time.Second+time.Millisecond), func() { add(2*time.Second, "added") })
	schedule.RunUntil(start.Add(2 * time.Second))
	require.Equal(t, []string{"first", "added"}, ran)
	at, ok := schedule.Next()
	require.True(t, ok)
	require.Equal(t, start.Add(3*time.Second), at)
	schedule.Run()
	_, ok = schedule.Next()
	require.False(t, ok)
	require.Equal(t, []string{"first", "added", "third"}, ran)
}
