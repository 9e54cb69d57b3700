package brdispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// requestsPerCheck is the number of requests in each run of the property. It
// multiplies the number of schedules of faults that rapid generates.
const requestsPerCheck = 30

func newRequest(id, target, body string, size int64) (brrequest.Request, brmessage.Call) {
	fields := brmessage.NewFields(nil)
	fields.Set("X-Request-Id", id)
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	return brrequest.New(id, "POST", target, netip.Addr{}), brmessage.NewCall("POST", target, fields, reader, size)
}

// Whichever faults occur, the fate reported to the caller is correct: a request on a
// route with repeat policy "once" runs at most once, FateNotRun and FateRan match the
// number of runs, and a truncated response is never reported as complete.
func TestReportedFateMatchesRuns(t *testing.T) {
	for _, repeat := range []brconfig.Repeat{brconfig.RepeatOnce, brconfig.RepeatAny} {
		t.Run(string(repeat), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkFate(t, repeat) })
		})
	}
}

func checkFate(t *rapid.T, repeat brconfig.Repeat) {
	c, dispatcher := newCluster(t, rapid.IntRange(0, 4).Draw(t, "servers"), repeat)
	for i := range requestsPerCheck {
		id := fmt.Sprint(i)
		body := rapid.SampledFrom([]string{"", "cylinder 7", strings.Repeat("x", 20<<10)}).Draw(t, "body")
		size := int64(len(body))
		if body != "" && rapid.Bool().Draw(t, "chunked") {
			size = -1
		}
		request, call := newRequest(id, "/entries", body, size)
		writer := &memoryWriter{}
		result := dispatcher.Dispatch(context.Background(), request, call, writer)
		runs := c.runs[id]
		if repeat == brconfig.RepeatOnce {
			require.LessOrEqual(t, runs, 1)
		}
		switch result.Fate() {
		case brrequest.FateNotRun:
			require.Zero(t, runs)
		case brrequest.FateRan:
			require.Positive(t, runs)
		case brrequest.FateUnknown:
		default:
			require.Fail(t, "unknown fate", "%q", result.Fate())
		}
		require.LessOrEqual(t, writer.heads, 1)
		require.Equal(t, result.Started(), writer.heads == 1)
		if result.IsComplete() {
			require.Equal(t, completeBody, writer.body.String())
		} else {
			require.NotEqual(t, completeBody, writer.body.String())
		}
		require.Zero(t, c.inFlight, "a slot was not released")
	}
}

// A request that crashes each server that runs it crashes two of them and is then
// refused as not run, even on a route that permits repeated runs.
func TestPoisonRequestCrashesTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeat := rapid.SampledFrom([]brconfig.Repeat{brconfig.RepeatOnce, brconfig.RepeatAny}).Draw(t, "repeat")
		c, dispatcher := newCluster(t, 12, repeat)
		c.poison = "/entries/poison"
		refused := 0
		for i := range 100 {
			request, call := newRequest(fmt.Sprint(i), c.poison, "body", 4)
			result := dispatcher.Dispatch(context.Background(), request, call, &memoryWriter{})
			if result.Reason() == brrequest.ReasonPoison {
				refused++
			}
		}
		require.Len(t, c.dead, 2)
		require.Greater(t, refused, 50)
	})
}

func TestFateIsRecordedInTimeline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, dispatcher := newCluster(t, 2, brconfig.RepeatOnce)
		request, call := newRequest("1", "/entries", "", 0)
		result := dispatcher.Dispatch(context.Background(), request, call, &memoryWriter{})
		last := c.events[len(c.events)-1]
		fate := last.Details().Get("fate").OrElse("")
		require.Equal(t, string(result.Fate()), fate)
		require.Equal(t, "1", last.Request())
	})
}
