package bradministration

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/decide/brselector"
	"bergamotroad.example/bergamotroad/internal/decide/brvalidation"
)

// ErrConflict is returned if a change of another operator was accepted first. The
// refused change had no effect.
type ErrConflict struct {
	first brdocument.Entry
}

// Error describes the change that was accepted first.
func (e ErrConflict) Error() string {
	return fmt.Sprintf("%q of team %q came first: generation %d, operation %s",
		e.first.Author(), e.first.Team(), e.first.Generation(), e.first.Operation())
}

// First returns the change that was accepted first.
func (e ErrConflict) First() brdocument.Entry { return e.first }

// IsErrConflict reports whether err is or wraps ErrConflict.
func IsErrConflict(err error) bool {
	_, ok := errors.Into[ErrConflict](err)
	return ok
}

// ErrUnavailable is returned if something that a change needs is unavailable: the
// table, the object store, a witness or this VM's replica of the newest configuration.
// This attempt had no effect; an earlier attempt of the same operation may have had one.
type ErrUnavailable struct {
	cause error
}

// Error includes the cause.
func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("this attempt had no effect: %v", e.cause)
}

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.cause }

// IsErrUnavailable reports whether err is or wraps ErrUnavailable.
func IsErrUnavailable(err error) bool {
	_, ok := errors.Into[ErrUnavailable](err)
	return ok
}

// ErrOutcomeUnknown is returned if a change may or may not take effect. Once the
// configuration has reached the generation, the presence of the operation's row is
// final.
type ErrOutcomeUnknown struct {
	operation  string
	generation uint64
	cause      error
}

// Error includes the operation and the generation that it would create.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome of operation %s, generation %d if accepted, is unknown: %v", e.operation, e.generation, e.cause)
}

// Unwrap returns the cause.
func (e ErrOutcomeUnknown) Unwrap() error { return e.cause }

// Operation returns the identifier of the operation.
func (e ErrOutcomeUnknown) Operation() string { return e.operation }

// Generation returns the generation that the operation creates if it is accepted.
func (e ErrOutcomeUnknown) Generation() uint64 { return e.generation }

// IsErrOutcomeUnknown reports whether err is or wraps ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	_, ok := errors.Into[ErrOutcomeUnknown](err)
	return ok
}

// ErrOperationReused is returned if the identifier of an operation was used before
// for a different request.
type ErrOperationReused struct {
	operation string
}

// Error includes the operation.
func (e ErrOperationReused) Error() string {
	return fmt.Sprintf("operation %s was already used for a different request", e.operation)
}

// IsErrOperationReused reports whether err is or wraps ErrOperationReused.
func IsErrOperationReused(err error) bool {
	_, ok := errors.Into[ErrOperationReused](err)
	return ok
}

// ErrOperationNotExist is returned for an operation that has not been accepted: it
// was refused, or its outcome is still unknown and it may be accepted later.
type ErrOperationNotExist struct {
	operation  string
	generation uint64
}

// Error includes the operation.
func (e ErrOperationNotExist) Error() string {
	return fmt.Sprintf("operation %s was not accepted up to generation %d", e.operation, e.generation)
}

// Generation returns the generation up to which the result is final.
func (e ErrOperationNotExist) Generation() uint64 { return e.generation }

// IsErrOperationNotExist reports whether err is or wraps ErrOperationNotExist.
func IsErrOperationNotExist(err error) bool {
	_, ok := errors.Into[ErrOperationNotExist](err)
	return ok
}

// ErrGenerationNotExist is returned if a generation has no journal entry or can't
// be rebuilt.
type ErrGenerationNotExist struct {
	generation uint64
}

// Error includes the generation.
func (e ErrGenerationNotExist) Error() string {
	return fmt.Sprintf("generation %d does not exist", e.generation)
}

// IsErrGenerationNotExist reports whether err is or wraps ErrGenerationNotExist.
func IsErrGenerationNotExist(err error) bool {
	_, ok := errors.Into[ErrGenerationNotExist](err)
	return ok
}

// ErrContract is returned if a contract can't be fulfilled exactly.
type ErrContract struct {
	cause error
}

// Error returns the message of the cause.
func (e ErrContract) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e ErrContract) Unwrap() error { return e.cause }

// IsErrContract reports whether err is or wraps ErrContract.
func IsErrContract(err error) bool {
	_, ok := errors.Into[ErrContract](err)
	return ok
}

// IsErrDenied reports whether a change was refused because its author lacks
// permission.
func IsErrDenied(err error) bool { return braccess.IsErrDenied(err) }

// IsErrRefused reports whether a change was refused because of its content.
func IsErrRefused(err error) bool {
	return IsErrContract(err) || brmove.IsErrInfeasible(err) || braccess.IsErrLockout(err) || brvalidation.IsErrInvalid(err) || brvalidation.IsErrQuotaExceeded(err) || brselector.IsErrConflict(err)
}

// FieldError is a validation error of one field of a resource.
type FieldError struct {
	path    string
	message string
}

// Path returns the kind and name of the resource and the field.
func (f FieldError) Path() string { return f.path }

// Message describes the error.
func (f FieldError) Message() string { return f.message }

// FieldErrors returns the validation errors for which a change was refused. The slice is
// empty if the change was refused for another reason.
func FieldErrors(err error) []FieldError {
	invalid, _ := errors.Into[brvalidation.ErrInvalid](err)
	fieldErrors := []FieldError{}
	for _, f := range invalid.FieldErrors() {
		fieldErrors = append(fieldErrors, FieldError{path: f.Path(), message: f.Message()})
	}
	return fieldErrors
}
