package brplacement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
	"bergamotroad.example/bergamotroad/internal/decide/brplacement"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const movedObjects = 200

// requestAll requests each object once and returns the moves that were counted.
func requestAll(t *testing.T, p *brplacement.Placer, now time.Time) map[string]int {
	t.Helper()
	for object := range movedObjects {
		choice, ok := p.Pick(now, newQuery("r", fmt.Sprint(object)))
		require.True(t, ok)
		p.RecordOutcome(now, answered(choice.Server().ID()))
	}
	counts := map[string]int{}
	moves := p.TakeMoves()
	for _, cause := range braffinity.Causes() {
		if count := moves.Count(cause); count > 0 {
			counts[cause.String()] = count
		}
	}
	return counts
}

// An operator sees that caches miss, and asks why objects changed their servers. Each change
// of the fleet must be counted under its own cause only, once for each object.
func TestMovesAreCountedByCause(t *testing.T) {
	list := servers(48)
	fewer := list[:47]
	for _, c := range []struct {
		cause         string
		before, after []brfleet.Server
		evacuated     []string
	}{
		{cause: "added", before: fewer, after: list},
		{cause: "removed", before: list, after: fewer},
		{cause: "evacuated", before: list, after: list, evacuated: []string{"a-1"}},
	} {
		t.Run(c.cause, func(t *testing.T) {
			p := newPlacer("vm-1", "a", view(c.before, nil, nil))
			require.Empty(t, requestAll(t, p, start))
			require.Empty(t, requestAll(t, p, start.Add(time.Second)))
			p.Update(start.Add(2*time.Second), view(c.after, nil, nil, c.evacuated...))
			moves := requestAll(t, p, start.Add(2*time.Second))
			require.Len(t, moves, 1)
			require.Positive(t, moves[c.cause])
			require.Empty(t, requestAll(t, p, start.Add(3*time.Second)), "counted once")
			if len(c.evacuated) > 0 {
				p.Update(start.Add(4*time.Second), view(c.after, nil, nil))
				require.Equal(t, moves, requestAll(t, p, start.Add(4*time.Second)), "objects come back")
			}
		})
	}
}

// A server is ejected for a moment. Its objects are counted when they leave and when they
// come back, and not as moves between regions.
func TestMovesOfUnavailableServersHaveTheirOwnCause(t *testing.T) {
	list := servers(24)
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	require.Empty(t, requestAll(t, p, start))
	choice, ok := p.Pick(start, newQuery("r", "7"))
	require.True(t, ok)
	p.RecordOutcome(start, brplacement.NewOutcome(choice.Server(), brrequest.OutcomeNotSent, 0))
	away := requestAll(t, p, start.Add(100*time.Millisecond))
	require.Len(t, away, 1)
	require.Positive(t, away["unavailable"])
	require.Equal(t, away, requestAll(t, p, start.Add(time.Second)))
}

// A region that loses most of its servers keeps fewer objects. Those that leave although
// their server is still there are counted as moves between regions.
func TestMovesBetweenRegionsAreCounted(t *testing.T) {
	list := servers(24)
	remaining := []brfleet.Server{}
	for _, s := range list {
		if s.Domain() != "a-1" {
			remaining = append(remaining, s)
		}
	}
	p := newPlacer("vm-1", "a", view(list, nil, nil))
	require.Empty(t, requestAll(t, p, start))
	p.Update(start.Add(time.Second), view(remaining, nil, nil))
	moves := requestAll(t, p, start.Add(time.Second))
	require.Len(t, moves, 2)
	require.Positive(t, moves["removed"])
	require.Positive(t, moves["region"])
}
