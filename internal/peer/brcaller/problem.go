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
	Request string `json:"request,omitempty"`
}

func writeRefusal(w http.ResponseWriter, id string, result brdispatch.Result) {
	status := statusCode(result)
	w.Header().Set(FieldRequestID, id)
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeProblem(w, status, result.RetryAfter(), problem{
		Fate:    string(result.Fate()),
		Reason:  string(result.Reason()),
		Request: id,
	})
}

// WriteRefusal writes an error response to a request that no handler completed.
func WriteRefusal(w http.ResponseWriter, status int, fate brrequest.Fate, reason brrequest.Reason, retryAfter time.Duration) {
	writeProblem(w, status, retryAfter, problem{Fate: string(fate), Reason: string(reason)})
}

func writeProblem(w http.ResponseWriter, status int, retryAfter time.Duration, p problem) {
	p.Title = http.StatusText(status)
	p.Status = status
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(FieldFate, p.Fate)
	header.Set(FieldReason, p.Reason)
	if retryAfter > 0 {
		header.Set("Retry-After", formatSeconds(retryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func statusCode(result brdispatch.Result) int {
	switch result.Reason() {
	case brrequest.ReasonNoKey, brrequest.ReasonUnknownKey:
		return http.StatusUnauthorized
	case brrequest.ReasonNoRoute:
		return http.StatusNotFound
	case brrequest.ReasonOverRate, brrequest.ReasonTooManyUnknownKeys:
		return http.StatusTooManyRequests
	case brrequest.ReasonIdempotencyKeyInvalid:
		return http.StatusBadRequest
	case brrequest.ReasonInProgress, brrequest.ReasonOutcomeUnknown, brrequest.ReasonResponseNotStored:
		return http.StatusConflict
	case brrequest.ReasonPoison, brrequest.ReasonIdempotencyKeyReused:
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

// formatSeconds rounds up to whole seconds.
func formatSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
