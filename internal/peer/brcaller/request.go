// Package brcaller is the HTTP front end for callers: it answers lookups and
// dispatches requests.
//
// Handlers decode a request, call a service and encode its result; all decisions
// are left to the services. The API key arrives as a bearer token in the
// Authorization header. It is hashed at once and never forwarded.
//
// # Usage
//
//	handler, err := brcaller.NewHandler(clock, dispatcher, locator)
//	server := &http.Server{Handler: handler}
package brcaller

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Header fields of requests by callers and of their responses.
const (
	// FieldFate tells the caller whether its request was run.
	FieldFate = "Bergamotroad-Fate"
	// FieldReason tells the caller why its request was rejected or failed.
	FieldReason = "Bergamotroad-Reason"
	// FieldTimeout is the caller's timeout in milliseconds.
	FieldTimeout = "Bergamotroad-Timeout"
	// FieldRequestID identifies a request to the caller and the backend server.
	FieldRequestID = "X-Request-Id"
)

const bearerPrefix = "Bearer "

// decode returns the description of a request that decisions are based on, and
// the call that is forwarded.
func (h *Handler) decode(r *http.Request, body io.Reader) (brrequest.Request, brmessage.Call) {
	id := uuid.NewString()
	request := brrequest.New(id, r.Method, r.URL.Path, clientAddress(r)).
		WithSize(r.ContentLength).
		WithKeyHash(requestKeyHash(r)).
		WithDeadline(h.requestDeadline(r))
	fields := brmessage.EndToEnd(r.Header)
	fields.Remove("Authorization")
	fields.Remove("Expect")
	fields.Set(FieldRequestID, id)
	fields.Set("Host", r.Host)
	call := brmessage.NewCall(r.Method, r.URL.RequestURI(), fields, body, r.ContentLength)
	return request, call
}

func (h *Handler) requestDeadline(r *http.Request) time.Time {
	milliseconds, err := strconv.ParseUint(r.Header.Get(FieldTimeout), 10, 31)
	if err != nil {
		return time.Time{}
	}
	return h.clock.Now().Add(time.Duration(milliseconds) * time.Millisecond)
}

func clientAddress(r *http.Request) netip.Addr {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

func requestKeyHash(r *http.Request) brrequest.KeyHash {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return brrequest.KeyHash{}
	}
	return brrequest.HashKey(key)
}
