package brvmlist_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/peer/brvmlist"
)

// Another writer leaves one odd group on the list: the others still count.
func TestOddGroupCostsOnlyItself(t *testing.T) {
	good := func(name string) string {
		return `{"targets":["10.0.0.1:80"],"labels":{"name":"` + name + `","state":"live"}}`
	}
	for name, odd := range map[string]string{
		"deeply nested":    `{"labels":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + `}`,
		"number":           `1e999`,
		"targets a number": `{"targets":7}`,
		"name a list":      `{"targets":["10.0.0.2:80"],"labels":{"name":[1]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("[" + good("vm-1") + "," + odd + "," + good("vm-2") + "]"))
			}))
			defer server.Close()
			entries, err := brvmlist.NewClient(http.DefaultClient, server.URL, time.Second).List(t.Context())
			require.NoError(t, err)
			require.Len(t, entries, 2)
			require.Equal(t, "vm-2", entries[1].Name())
		})
	}
}
