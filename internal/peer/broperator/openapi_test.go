package broperator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// undocumented matches the routes that the OpenAPI document doesn't describe.
var undocumented = regexp.MustCompile(`^(/healthz|/readyz|/metrics|/v1/openapi\.json)$`)

func TestOpenAPIDocumentListsAllRoutes(t *testing.T) {
	h, err := NewHandler("vm-1", nil, nil, prometheus.NewRegistry())
	require.NoError(t, err)
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, openAPIPath, nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	var document openAPIDocument
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &document))

	registered := map[string]bool{}
	for _, r := range h.app.GetRoutes() {
		path := r.Tmpl().Src
		if !undocumented.MatchString(path) {
			registered[strings.ToLower(r.Method)+" "+path] = true
		}
	}
	documented := map[string]bool{}
	for path, operations := range document.Paths {
		for method, operation := range operations {
			documented[method+" "+path] = true
			require.NotEmpty(t, operation.Summary)
			for _, p := range operation.Parameters {
				require.Equal(t, p.In == "path", strings.Contains(path, "{"+p.Name+"}"), "%s %s", path, p.Name)
			}
		}
	}
	require.Equal(t, registered, documented)
}
