package brcaller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
)

// problem is an error document (RFC 9457).
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Fate    string `json:"fate"`
	Reason  string `json:"reason"`
	Request string `json:"request"`
}

func writeRefusal(w http.ResponseWriter, id string, result brdispatch.Result) {
	status := statusOf(result)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(FieldFate, string(result.Fate()))
	header.Set(FieldReason, string(result.Reason()))
	header.Set(FieldRequestID, id)
	if result.RetryAfter() > 0 {
		header.Set("Retry-After", secondsOf(result.RetryAfter()))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{
		Title:   http.StatusText(status),
		Status:  status,
		Fate:    string(result.Fate()),
		Reason:  string(result.Reason()),
		Request: id,
	})
}

func statusOf(result brdispatch.Result) int {
	switch result.Reason() {
	case brrequest.ReasonNoKey, brrequest.ReasonUnknownKey:
		return http.StatusUnauthorized
	case brrequest.ReasonNoRoute:
		return http.StatusNotFound
	case brrequest.ReasonOverRate:
		return http.StatusTooManyRequests
	case brrequest.ReasonPoison:
		return http.StatusUnprocessableEntity
	case brrequest.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case brrequest.ReasonServerFailed:
		return http.StatusBadGateway
	case brrequest.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// secondsOf rounds up to whole seconds.
func secondsOf(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
