package bradmin

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// Error codes of the API.
const (
	codeUnauthenticated = "unidentified"
	codeDenied          = "denied"
	codeNotExist        = "does-not-exist"
	codeConflict        = "conflict"
	codeRateLimited     = "too-often"
	codeUnavailable     = "unavailable"
	codeOutcomeUnknown  = "outcome-unknown"
)

// ErrRefused means that the API refused a call.
type ErrRefused struct {
	status      int
	code        string
	message     string
	operation   string
	fieldErrors []string
}

type refusalReply struct {
	Code        string            `json:"code"`
	Error       string            `json:"error"`
	Operation   string            `json:"operation"`
	FieldErrors []fieldErrorReply `json:"faults"`
}

type fieldErrorReply struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

func decodeRefusal(status int, raw []byte) error {
	var reply refusalReply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return ErrRefused{status: status, message: fmt.Sprintf("status %d", status)}
	}
	refused := ErrRefused{status: status, code: reply.Code, message: reply.Error, operation: reply.Operation}
	for _, f := range reply.FieldErrors {
		refused.fieldErrors = append(refused.fieldErrors, f.Path+": "+f.Message)
	}
	return refused
}

// Error returns the message of the API or, if the API reported field errors, all
// of them.
func (e ErrRefused) Error() string {
	if len(e.fieldErrors) > 0 {
		return "refused:\n  " + strings.Join(e.fieldErrors, "\n  ")
	}
	return e.message
}

// Operation returns the identifier of the operation, or "" if the API gave none.
func (e ErrRefused) Operation() string { return e.operation }

// ErrNoResponse means that no valid response to a call was received. The call may
// have taken effect.
type ErrNoResponse struct {
	operation string
	cause     error
}

// Error implements error.
func (e ErrNoResponse) Error() string {
	if e.operation == "" {
		return fmt.Sprintf("no response: %v", e.cause)
	}
	return fmt.Sprintf("no response, outcome of operation %s is unknown: %v", e.operation, e.cause)
}

// Unwrap returns the wrapped error.
func (e ErrNoResponse) Unwrap() error { return e.cause }

func hasCode(err error, codes ...string) bool {
	refused, _ := errors.Into[ErrRefused](err)
	for _, code := range codes {
		if refused.code == code {
			return true
		}
	}
	return false
}

// mayHaveTakenEffect reports whether a failed call may have taken effect.
func mayHaveTakenEffect(err error) bool {
	_, isLost := errors.Into[ErrNoResponse](err)
	return isLost || hasCode(err, codeOutcomeUnknown)
}

// IsErrRefused reports whether err is or wraps ErrRefused.
func IsErrRefused(err error) bool {
	_, ok := errors.Into[ErrRefused](err)
	return ok
}

// IsErrConflict reports whether the change was refused because of a conflicting
// earlier change.
func IsErrConflict(err error) bool { return hasCode(err, codeConflict) }

// IsErrDenied reports whether the operator was not identified or not authorised
// for the call.
func IsErrDenied(err error) bool { return hasCode(err, codeDenied, codeUnauthenticated) }

// IsErrNotExist reports whether the requested object does not exist.
func IsErrNotExist(err error) bool { return hasCode(err, codeNotExist) }

// IsErrUnavailable reports whether the call had no effect and may be retried
// later.
func IsErrUnavailable(err error) bool { return hasCode(err, codeUnavailable, codeRateLimited) }

// IsErrOutcomeUnknown reports whether the failed call may have taken effect.
func IsErrOutcomeUnknown(err error) bool { return mayHaveTakenEffect(err) }
