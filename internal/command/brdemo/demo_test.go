package brdemo

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
)

// Only promises without a time limit are checked here, since they hold on a machine
// of any speed.
func TestShortRunKeepsUntimedPromises(t *testing.T) {
	output := &bytes.Buffer{}
	report, err := New(brclock.NewSystem(), 3*time.Second, output).Run(t.Context())
	require.NoError(t, err)
	table := &bytes.Buffer{}
	require.NoError(t, report.Print(table))
	for _, v := range report.Verdicts() {
		if !v.Timed() {
			require.NotEqual(t, StatusBroken, v.Status(), "%s: %s\n%s", v.Promise(), v.Observed(), table)
		}
	}
	require.Contains(t, output.String(), "look-ups")
}

func TestVerdictsReportUnobservedPromises(t *testing.T) {
	report := checkPromises(observation{stopped: make(chan error)})
	require.False(t, report.Broken())
	for _, v := range report.Verdicts() {
		require.Equal(t, StatusNotObserved, v.Status(), v.Promise())
	}
}

func TestVerdictsReportBrokenPromises(t *testing.T) {
	start := time.Unix(0, 0)
	o := observation{
		times: times{start: start, end: start.Add(time.Minute), keyRevoked: start, outageStart: start, outageEnd: start.Add(time.Minute)},
		records: []record{
			{organisation: orgRevoked, fate: fateRan, status: 200, sent: start.Add(8 * time.Second), matches: true},
			{organisation: orgSteady, interrupted: true, sent: start.Add(time.Second)},
			{organisation: orgSteady, fate: fateRan, status: 200},
			{organisation: orgSteady, fate: fateNotRun, uri: "/entries/1", sent: start.Add(time.Second)},
		},
		stopped: make(chan error),
	}
	runs := map[string]int{"/entries/1": 2}
	for _, v := range []Verdict{o.checkRevocation(), o.checkStop(), o.checkOutage(), o.checkResponses(), o.checkRefusals(runs), o.checkOnce(runs)} {
		require.Equal(t, StatusBroken, v.Status(), "%s: %s", v.Promise(), v.Observed())
	}
}
