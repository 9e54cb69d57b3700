package brcaller

import (
	"net/http"
	"strings"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// reasonUnsupported is the reason given for requests that are never forwarded.
const reasonUnsupported = "not-supported"

// isUnsupported reports whether a request asks for a tunnel (CONNECT), an echo of
// itself (TRACE), another protocol or an ambiguous path. An upgrade to h2c is not
// refused, because a server may ignore the offer.
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
