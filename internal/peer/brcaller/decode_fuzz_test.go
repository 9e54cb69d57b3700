package brcaller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Guards against header fields that let a caller's API key reach a server, or that
// forge a field with the reserved prefix.
func FuzzDecode(f *testing.F) {
	f.Add("Bearer secret-key-1", "Connection", "x-session")
	f.Add("bearer secret-key-1", "Bergamotroad-Fate", "ran")
	f.Add("Bearer  ", "Connection", "authorization, , \t")
	f.Add("Basic secret-key-1", "authorization", "Bearer other")
	f.Fuzz(func(t *testing.T, authorization, name, value string) {
		r := httptest.NewRequest(http.MethodGet, "/cylinders/7", nil)
		r.Header.Set(name, value)
		r.Header.Set("Authorization", authorization)
		h := &Handler{clock: brclock.NewSystem()}
		request, call := h.decode(r, r.Body)
		for field := range call.Fields().All() {
			require.False(t, strings.EqualFold(field, "Authorization"), "the key is forwarded")
			require.False(t, strings.HasPrefix(field, brmessage.ReservedPrefix), "%s is forwarded", field)
		}
		key, isBearer := strings.CutPrefix(authorization, bearerPrefix)
		if isBearer && key != "" {
			require.Equal(t, brrequest.HashKey(key), request.KeyHash())
		}
	})
}
