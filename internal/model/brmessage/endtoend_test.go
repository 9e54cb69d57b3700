package brmessage_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
)

func TestEndToEndRemovesHopByHopAndReservedFields(t *testing.T) {
	fields := brmessage.EndToEnd(map[string][]string{
		"Accept":            {"text/plain"},
		"Connection":        {"keep-alive, x-session", "Upgrade"},
		"Keep-Alive":        {"5"},
		"X-Session":         {"1"},
		"Te":                {"trailers"},
		"Transfer-Encoding": {"chunked"},
		"Bergamotroad-Fate": {"not-run"},
	})
	remaining := map[string][]string{}
	for name, values := range fields.All() {
		remaining[name] = values
	}
	require.Equal(t, map[string][]string{"Accept": {"text/plain"}}, remaining)
}
