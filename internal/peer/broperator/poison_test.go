package broperator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/broperator"
)

type refusal struct {
	fingerprint brrequest.Fingerprint
}

func (r refusal) Fingerprint() brrequest.Fingerprint { return r.fingerprint }

func (refusal) Until() time.Time { return time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC) }

// poisonList refuses one request until it is lifted.
type poisonList struct {
	refusals []refusal
}

func (p *poisonList) Refusals(context.Context) ([]refusal, error) { return p.refusals, nil }

func (p *poisonList) Lift(_ context.Context, fingerprint brrequest.Fingerprint) (bool, error) {
	if len(p.refusals) == 0 || p.refusals[0].fingerprint != fingerprint {
		return false, nil
	}
	p.refusals = nil
	return true, nil
}

// administration accepts the token "editor" as that of an editor of the platform;
// any other token is that of a viewer.
type administration struct {
	broperator.Administration
}

func (administration) Identify(_ context.Context, token string) (brprincipal.Principal, error) {
	if token != "editor" {
		return brprincipal.New("viewer", "", brconfig.RoleViewer), nil
	}
	return brprincipal.New("editor", "", brconfig.RoleEditor), nil
}

func TestListAndLiftRefusals(t *testing.T) {
	fingerprint := brrequest.NewFingerprint("entries", "POST", "/entries", nil, 0)
	handler, err := broperator.NewHandler("vm-1", administration{}, nil, prometheus.NewRegistry())
	require.NoError(t, err)
	require.NoError(t, broperator.RegisterPoisonRoutes(handler, &poisonList{refusals: []refusal{{fingerprint: fingerprint}}}))
	sendAs := func(token, method, path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(method, path, nil)
		request.Header.Set("Authorization", "Bearer "+token)
		handler.ServeHTTP(recorder, request)
		return recorder
	}
	send := func(method, path string) *httptest.ResponseRecorder { return sendAs("editor", method, path) }
	require.Equal(t, http.StatusForbidden, sendAs("viewer", http.MethodDelete, "/v1/poison/"+fingerprint.String()).Code)
	require.Contains(t, send(http.MethodGet, "/v1/poison").Body.String(), fingerprint.String())
	require.Equal(t, http.StatusBadRequest, send(http.MethodDelete, "/v1/poison/7").Code)
	require.Equal(t, http.StatusNoContent, send(http.MethodDelete, "/v1/poison/"+fingerprint.String()).Code)
	require.Equal(t, http.StatusNotFound, send(http.MethodDelete, "/v1/poison/"+fingerprint.String()).Code)
	require.NotContains(t, send(http.MethodGet, "/v1/poison").Body.String(), fingerprint.String())
}
