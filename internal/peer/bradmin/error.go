package bradmin

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// Codes of refusals, as the API gives them.
const (
	codeUnidentified = "unidentified"
	codeDenied       = "denied"
	codeNotExist     = "does-not-exist"
	codeConflict     = "conflict"
	codeTooOften     = "too-often"
	codeUnavailable  = "unavailable"
	codeUnknown      = "outcome-unknown"
)

// ErrRefused says that the VM refused a call.
type ErrRefused struct {
	status    int
	code      string
	message   string
	operation string
	faults    []string
}

type refusalReply struct {
	Code      string        `json:"code"`
	Error     string        `json:"error"`
	Operation string        `json:"operation"`
	Faults    []faultsReply `json:"faults"`
}

type faultsReply struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

func refusalOf(status int, raw []byte) error {
	var reply refusalReply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return ErrRefused{status: status, message: fmt.Sprintf("status %d", status)}
	}
	refused := ErrRefused{status: status, code: reply.Code, message: reply.Error, operation: reply.Operation}
	for _, f := range reply.Faults {
		refused.faults = append(refused.faults, f.Path+": "+f.Message)
	}
	return refused
}

// Error returns the message of the VM, with all faults.
func (e ErrRefused) Error() string {
	if len(e.faults) > 0 {
		return "refused:\n  " + strings.Join(e.faults, "\n  ")
	}
	return e.message
}

// Operation returns the identifier of the operation, if the VM named it.
func (e ErrRefused) Operation() string { return e.operation }

// ErrNoAnswer says that a call had no answer; what it asked for may have been done.
type ErrNoAnswer struct {
	operation string
	cause     error
}

// Error names the operation, if there is one, and the cause.
func (e ErrNoAnswer) Error() string {
	if e.operation == "" {
		return fmt.Sprintf("no answer: %v", e.cause)
	}
	return fmt.Sprintf("no answer, outcome of operation %s is unknown: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e ErrNoAnswer) Unwrap() error { return e.cause }

func hasCode(err error, codes ...string) bool {
	refused, _ := errors.Into[ErrRefused](err)
	for _, code := range codes {
		if refused.code == code {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether a call that failed may have been done.
func mayHaveRun(err error) bool {
	_, isLost := errors.Into[ErrNoAnswer](err)
	return isLost || hasCode(err, codeUnknown)
}

// IsErrRefused reports whether err is or wraps ErrRefused.
func IsErrRefused(err error) bool {
	_, ok := errors.Into[ErrRefused](err)
	return ok
}

// IsErrConflict reports whether another change came first.
func IsErrConflict(err error) bool { return hasCode(err, codeConflict) }

// IsErrDenied reports whether the operator has no right to what was asked for.
func IsErrDenied(err error) bool { return hasCode(err, codeDenied, codeUnidentified) }

// IsErrNotExist reports whether what was asked for does not exist.
func IsErrNotExist(err error) bool { return hasCode(err, codeNotExist) }

// IsErrUnavailable reports whether the call did nothing and may be tried later.
func IsErrUnavailable(err error) bool { return hasCode(err, codeUnavailable, codeTooOften) }

// IsErrOutcomeUnknown reports whether what was asked for may have been done.
func IsErrOutcomeUnknown(err error) bool { return mayHaveRun(err) }
