package brnode

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func metricsOf(t *testing.T, node *Node) string {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + node.settings.Operators().Address() + "/metrics")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(text)
}

func TestMetricsCoverRequestsDutiesAndFronts(t *testing.T) {
	node := newNode(t, plain, plain)
	stop, ended := start(t, node)
	callers := "http://" + node.settings.Callers().Address()
	for _, path := range []string{"/nothing", "/.well-known/bergamotroad/lookup"} {
		response, err := http.Get(callers + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	node.observer.DutyStalled("admission", 3)
	text := metricsOf(t, node)
	for _, line := range []string{
		`bergamotroad_requests_total{fate="not-run",reason="`,
		`bergamotroad_request_duration_seconds_count{fate="not-run"} 1`,
		`bergamotroad_lookups_total{result="empty"} 1`,
		`bergamotroad_duty_ring_capacity_messages{duty="timeline"} 8192`,
		`bergamotroad_duty_ring_messages{duty="admission"}`,
		`bergamotroad_duty_ring_dropped_messages_total{duty="balancing"} 0`,
		`bergamotroad_duty_stalls_total 1`,
		`bergamotroad_duty_panics_total 0`,
		`bergamotroad_front_connections{front="operators"}`,
		`bergamotroad_configuration_generation 0`,
	} {
		require.Contains(t, text, line)
	}
	stop()
	require.NoError(t, <-ended)
}
