package brcaller

import (
	"net/http"
	"strings"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// reasonUnsupported tells the caller that the system carries no such requests.
const reasonUnsupported = "not-supported"

// isUnsupported reports whether a request asks for a tunnel, another protocol,
// its own echo or a path that servers read in different ways. An offer of HTTP/2 may be left unanswered.
func isUnsupported(r *http.Request) bool {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return true
	}
	if isAmbiguous(r.URL) {
		return true
	}
	upgrade := r.Header.Get("Upgrade")
	return upgrade != "" && !strings.EqualFold(upgrade, "h2c")
}

func refuseUnsupported(w http.ResponseWriter) {
	w.Header().Set(FieldFate, string(brrequest.FateNotRun))
	w.Header().Set(FieldReason, reasonUnsupported)
	w.WriteHeader(http.StatusNotImplemented)
}
