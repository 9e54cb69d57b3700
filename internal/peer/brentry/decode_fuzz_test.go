package brentry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
)

// The response to a forwarded request has a fate whatever the values of the header
// fields are, and no header field that is internal to the entry VMs reaches a server.
func FuzzForwarded(f *testing.F) {
	f.Add("3", "9s", "5000", "7", "any")
	f.Add("-1", "", "x", "18446744073709551616", "once")
	f.Add("9999999999", "1e9h", "-5", "7", "\x00")
	f.Fuzz(func(t *testing.T, weight, routeTimeout, timeout, generation, repeat string) {
		r := &receiver{receive: func(_ context.Context, writer brdispatch.Writer) brdispatch.Result {
			_ = writer.WriteHead(http.StatusOK, brmessage.NewFields(nil))
			return brdispatch.NewResult(brrequest.FateRan, brrequest.ReasonNone, 0).WithStarted(true)
		}}
		handler := brentry.WithForwarding(http.NotFoundHandler(), brclock.NewSystem(), r, unlimited{})
		request := httptest.NewRequest(http.MethodPost, "/forward/entries/1", strings.NewReader("body"))
		request.Header["Bergamotroad-Weight"] = []string{weight}
		request.Header["Bergamotroad-Route-Timeout"] = []string{routeTimeout}
		request.Header["Bergamotroad-Timeout"] = []string{timeout}
		request.Header["Bergamotroad-Generation"] = []string{generation}
		request.Header["Bergamotroad-Repeat"] = []string{repeat}
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		require.NotEmpty(t, response.Header().Get("Bergamotroad-Fate"))
		for field := range r.fields.All() {
			require.False(t, strings.HasPrefix(field, brmessage.ReservedPrefix), "header field %s reaches a server", field)
		}
	})
}
