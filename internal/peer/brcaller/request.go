// Package brcaller is the front end for callers: it answers look-ups and takes
// their requests over HTTP.
//
// Handlers decode, call a service and encode; they decide nothing. The key
// comes in the Authorization header as a bearer token, is hashed at once and
// passed on to nobody.
//
// # Usage
//
//	front := brcaller.NewHandler(clock, dispatcher, steering, timeline)
//	server := &http.Server{Handler: front}
package brcaller

import (
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Header fields between callers and the system.
const (
	// FieldFate tells the caller the fate of its request.
	FieldFate = "Bergamotroad-Fate"
	// FieldReason tells the caller why its request was refused or failed.
	FieldReason = "Bergamotroad-Reason"
	// FieldTimeout tells the system after how many milliseconds the caller gives up.
	FieldTimeout = "Bergamotroad-Timeout"
	// FieldRequestID identifies a request towards caller and backend server.
	FieldRequestID = "X-Request-Id"
)

const bearerPrefix = "Bearer "

// decode returns what decisions need of a request and what is passed on.
func (h *Handler) decode(r *http.Request) (brrequest.Request, brmessage.Call) {
	id := uuid.NewString()
	request := brrequest.New(id, r.Method, r.URL.Path, clientOf(r)).
		WithSize(r.ContentLength).
		WithKeyHash(keyOf(r)).
		WithDeadline(h.deadlineOf(r))
	fields := brmessage.EndToEnd(r.Header)
	fields.Remove("Authorization")
	fields.Remove("Expect")
	fields.Set(FieldRequestID, id)
	fields.Set("Host", r.Host)
	call := brmessage.NewCall(r.Method, r.URL.RequestURI(), fields, r.Body, r.ContentLength)
	return request, call
}

func (h *Handler) deadlineOf(r *http.Request) time.Time {
	milliseconds, err := strconv.ParseUint(r.Header.Get(FieldTimeout), 10, 31)
	if err != nil {
		return time.Time{}
	}
	return h.clock.Now().Add(time.Duration(milliseconds) * time.Millisecond)
}

func clientOf(r *http.Request) netip.Addr {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

func keyOf(r *http.Request) brrequest.KeyHash {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return brrequest.KeyHash{}
	}
	return brrequest.HashKey(key)
}
