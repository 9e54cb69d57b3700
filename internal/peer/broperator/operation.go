package broperator

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"regexp"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/service/bradministration"
)

// maxBodyBytes is the maximum size of a request body, in bytes.
const maxBodyBytes = 64 << 20

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIfMatch        = "If-Match"
	// headerWithoutWitness allows a change although no witness can be notified.
	headerWithoutWitness = "Bergamotroad-Without-Witness"
)

var idempotencyKeyPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{7,63}$`)

// ErrRequest is an error with the HTTP status of the response to it.
type ErrRequest struct {
	status int
	reason string
}

// Error implements error.
func (e ErrRequest) Error() string { return e.reason }

func badRequest(reason string) error {
	return ErrRequest{status: http.StatusBadRequest, reason: reason}
}

func unavailable(err error) error {
	return ErrRequest{status: http.StatusServiceUnavailable, reason: err.Error()}
}

func readBody(ctx iris.Context) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes))
	if err != nil {
		if _, isTooLarge := errors.Into[*http.MaxBytesError](err); isTooLarge {
			return nil, ErrRequest{status: http.StatusRequestEntityTooLarge, reason: "body exceeds " + strconv.Itoa(maxBodyBytes) + " bytes"}
		}
		return nil, badRequest("read body: " + err.Error())
	}
	return data, nil
}

// newOperation returns the operation for an edit, with the options from the
// request headers.
func newOperation(ctx iris.Context, body []byte, edit bradministration.Edit) (bradministration.Operation, error) {
	operation := bradministration.NewOperation(requestPrincipal(ctx), edit)
	if key := ctx.GetHeader(headerIdempotencyKey); key != "" {
		if !idempotencyKeyPattern.MatchString(key) {
			return operation, badRequest(headerIdempotencyKey + " must be 8 to 64 letters, digits, '-' or '_'")
		}
		operation = operation.WithID(key, requestFingerprint(ctx, body))
	}
	if ctx.GetHeader(headerWithoutWitness) != "" {
		operation = operation.WithoutWitness()
	}
	expected := ctx.GetHeader(headerIfMatch)
	if expected == "" {
		return operation, nil
	}
	generation, err := strconv.ParseUint(unquote(expected), 10, 64)
	if err != nil {
		return operation, badRequest(headerIfMatch + " must be a generation number in double quotes")
	}
	return operation.WithExpectedGeneration(generation), nil
}

func unquote(tag string) string {
	if text, err := strconv.Unquote(tag); err == nil {
		return text
	}
	return tag
}

// requestFingerprint distinguishes different requests that use the same
// idempotency key.
func requestFingerprint(ctx iris.Context, body []byte) string {
	hash := sha256.New()
	_, _ = io.WriteString(hash, ctx.Method()+" "+ctx.Request().URL.RequestURI()+"\n")
	_, _ = hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}
