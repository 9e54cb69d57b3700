package broperator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/service/bradministration"
)

// Error codes of the API.
const (
	codeBadRequest      = "bad-request"
	codeUnauthenticated = "unidentified"
	codeDenied          = "denied"
	codeNotExist        = "does-not-exist"
	codeConflict        = "conflict"
	codeOperationReused = "idempotency-key-reused"
	codeInvalid         = "invalid"
	codeRateLimited     = "too-often"
	codeUnavailable     = "unavailable"
	codeOutcomeUnknown  = "outcome-unknown"
	codeInternal        = "internal"
)

// codeByStatus maps the status of an ErrRequest to its error code.
var codeByStatus = map[int]string{
	http.StatusBadRequest:            codeBadRequest,
	http.StatusRequestEntityTooLarge: codeBadRequest,
	http.StatusForbidden:             codeDenied,
	http.StatusNotFound:              codeNotExist,
	http.StatusServiceUnavailable:    codeUnavailable,
}

type fieldErrorReply struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

type errorReply struct {
	Code        string            `json:"code"`
	Error       string            `json:"error"`
	Operation   string            `json:"operation,omitempty"`
	Generation  uint64            `json:"generation,omitempty"`
	FieldErrors []fieldErrorReply `json:"faults,omitempty"`
	First       *entryReply       `json:"first,omitempty"`
}

// errOperation wraps an error with the identifier of the operation that failed.
type errOperation struct {
	operation string
	cause     error
}

// Error implements error.
func (e errOperation) Error() string { return e.cause.Error() }

// Unwrap returns the wrapped error.
func (e errOperation) Unwrap() error { return e.cause }

func withOperation(operation bradministration.Operation, err error) error {
	return errOperation{operation: operation.ID(), cause: err}
}

func writeError(ctx iris.Context, err error) {
	status, reply := newErrorReply(err)
	if limited, ok := errors.Into[bradministration.ErrRateLimited](err); ok {
		seconds := (limited.RetryAfter() + time.Second - 1) / time.Second
		ctx.Header("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	ctx.StatusCode(status)
	_ = ctx.JSON(reply)
}

func newErrorReply(err error) (int, errorReply) {
	status, code := statusAndCode(err)
	reply := errorReply{Code: code, Error: err.Error()}
	if failed, ok := errors.Into[errOperation](err); ok {
		reply.Operation = failed.operation
	}
	if unknown, ok := errors.Into[bradministration.ErrOutcomeUnknown](err); ok {
		reply.Generation = unknown.Generation()
	}
	if missing, ok := errors.Into[bradministration.ErrOperationNotExist](err); ok {
		reply.Generation = missing.Generation()
	}
	if conflict, ok := errors.Into[bradministration.ErrConflict](err); ok {
		first := newEntryReply(conflict.First())
		reply.First = &first
	}
	for _, f := range bradministration.FieldErrors(err) {
		reply.FieldErrors = append(reply.FieldErrors, fieldErrorReply{Path: f.Path(), Message: f.Message()})
	}
	return status, reply
}

func statusAndCode(err error) (int, string) {
	if request, ok := errors.Into[ErrRequest](err); ok {
		return request.status, codeByStatus[request.status]
	}
	switch {
	case bradministration.IsErrUnauthenticated(err):
		return http.StatusUnauthorized, codeUnauthenticated
	case bradministration.IsErrDenied(err):
		return http.StatusForbidden, codeDenied
	case bradministration.IsErrResourceNotExist(err),
		bradministration.IsErrOperationNotExist(err),
		bradministration.IsErrGenerationNotExist(err):
		return http.StatusNotFound, codeNotExist
	case bradministration.IsErrConflict(err):
		return http.StatusConflict, codeConflict
	case bradministration.IsErrOperationReused(err):
		return http.StatusUnprocessableEntity, codeOperationReused
	case bradministration.IsErrRefused(err), brconfig.IsErrDangling(err), brconfig.IsErrNotUnique(err), brconfig.IsErrKindNotExist(err):
		return http.StatusUnprocessableEntity, codeInvalid
	case bradministration.IsErrRateLimited(err):
		return http.StatusTooManyRequests, codeRateLimited
	case bradministration.IsErrOutcomeUnknown(err):
		return http.StatusGatewayTimeout, codeOutcomeUnknown
	case bradministration.IsErrUnavailable(err):
		return http.StatusServiceUnavailable, codeUnavailable
	default:
		return http.StatusInternalServerError, codeInternal
	}
}
