package brjournal_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

func parseLines(t *testing.T, output []byte) []map[string]any {
	t.Helper()
	lines := []map[string]any{}
	for line := range bytes.Lines(output) {
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal(line, &fields), "%s", line)
		lines = append(lines, fields)
	}
	return lines
}

func TestLinesAreJSONWithTheirInputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &bytes.Buffer{}
		journal := brjournal.New(brclock.NewSystem(), "vm-1", output)
		group := brduty.NewGroup(t.Context(), brclock.NewSystem(), brobserver.Nop{})
		group.Start(journal.Duty())
		journal.Failure("9c41", "refused", "reason", "over-rate", "configuration", 7)
		journal.StateChange("store lost", "error", "status 503")
		time.Sleep(2 * time.Second)
		group.Stop()
		lines := parseLines(t, output.Bytes())
		require.Len(t, lines, 2)
		require.Equal(t, "9c41", lines[0]["request"])
		require.Equal(t, "refused", lines[0]["msg"])
		require.Equal(t, "store lost", lines[1]["msg"])
	})
}

// Ten times the usual load: ordinary lines are cut to the budget, no failure is lost, and
// the number of dropped lines is logged.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &bytes.Buffer{}
		journal := brjournal.New(brclock.NewSystem(), "vm-1", output)
		group := brduty.NewGroup(t.Context(), brclock.NewSystem(), brobserver.Nop{})
		group.Start(journal.Duty())
		const seconds, perSecond = 3, 2000
		for range seconds {
			for i := range 100 {
				for n := range perSecond / 100 {
					journal.Decision(fmt.Sprint(i, n), "answered")
				}
				if i%10 == 0 {
					journal.Failure(fmt.Sprint(i), "failed")
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		group.Stop()
		count := map[any]int{}
		for _, fields := range parseLines(t, output.Bytes()) {
			count[fields["msg"]]++
		}
		require.LessOrEqual(t, count["answered"], 200*(seconds+1))
		require.Equal(t, 10*seconds, count["failed"])
		require.Positive(t, count["log lines left out"])
	})
}

// A blocked output must not block the callers.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	reader, writer := io.Pipe()
	journal := brjournal.New(brclock.NewSystem(), "vm-1", writer)
	group := brduty.NewGroup(t.Context(), brclock.NewSystem(), brobserver.Nop{})
	group.Start(journal.Duty())
	for i := range 100_000 {
		journal.Failure(fmt.Sprint(i), "failed", "cause", "a server that answers nothing at all")
	}
	require.NoError(t, reader.Close())
	group.Stop()
}

// The line that says that the process stopped comes right before the duty stops, and under
// load the other budgets are spent.
func TestLastLinesAreWrittenAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &bytes.Buffer{}
		journal := brjournal.New(brclock.NewSystem(), "vm-1", output)
		group := brduty.NewGroup(t.Context(), brclock.NewSystem(), brobserver.Nop{})
		group.Start(journal.Duty())
		for i := range 1000 {
			journal.Failure(fmt.Sprint(i), "failed")
		}
		journal.Lifecycle("VM stopped")
		group.Stop()
		lines := parseLines(t, output.Bytes())
		count := map[any]int{}
		for _, fields := range lines {
			count[fields["msg"]]++
		}
		require.Equal(t, 1, count["VM stopped"])
		require.Equal(t, 1, count["log lines left out"])
	})
}
