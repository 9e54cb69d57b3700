package bradministration

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/decide/brcheck"
	"bergamotroad.example/bergamotroad/internal/decide/brmove"
	"bergamotroad.example/bergamotroad/internal/decide/brselect"
)

// ErrConflict says that another operator's change came first and that this one
// left no trace.
type ErrConflict struct {
	first brdocument.Entry
}

// Error names the change that came first.
func (e ErrConflict) Error() string {
	return fmt.Sprintf("%q of team %q came first: generation %d, operation %s",
		e.first.Author(), e.first.Team(), e.first.Generation(), e.first.Operation())
}

// First returns the change that came first.
func (e ErrConflict) First() brdocument.Entry { return e.first }

// IsErrConflict reports whether err is or wraps ErrConflict.
func IsErrConflict(err error) bool {
	_, ok := errors.Into[ErrConflict](err)
	return ok
}

// ErrUnavailable says that the platform did not answer and that this attempt
// left no trace. An earlier attempt of the same operation may have.
type ErrUnavailable struct {
	cause error
}

// Error returns the message with its cause.
func (e ErrUnavailable) Error() string {
	return fmt.Sprintf("this attempt changed nothing: %v", e.cause)
}

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.cause }

// IsErrUnavailable reports whether err is or wraps ErrUnavailable.
func IsErrUnavailable(err error) bool {
	_, ok := errors.Into[ErrUnavailable](err)
	return ok
}

// ErrOutcomeUnknown says that a change may or may not take effect. Once the
// configuration is past the generation, the operation's row tells which.
type ErrOutcomeUnknown struct {
	operation  string
	generation uint64
	cause      error
}

// Error names the operation and the generation that it would make.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("outcome of operation %s, generation %d if accepted, is unknown: %v", e.operation, e.generation, e.cause)
}

// Unwrap returns the cause.
func (e ErrOutcomeUnknown) Unwrap() error { return e.cause }

// Operation returns the identifier of the operation.
func (e ErrOutcomeUnknown) Operation() string { return e.operation }

// Generation returns the generation that the operation makes if it is accepted.
func (e ErrOutcomeUnknown) Generation() uint64 { return e.generation }

// IsErrOutcomeUnknown reports whether err is or wraps ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	_, ok := errors.Into[ErrOutcomeUnknown](err)
	return ok
}

// ErrOperationReused says that an operation's identifier stands for another request.
type ErrOperationReused struct {
	operation string
}

// Error names the operation.
func (e ErrOperationReused) Error() string {
	return fmt.Sprintf("operation %s was another request", e.operation)
}

// IsErrOperationReused reports whether err is or wraps ErrOperationReused.
func IsErrOperationReused(err error) bool {
	_, ok := errors.Into[ErrOperationReused](err)
	return ok
}

// ErrOperationNotExist says that an operation was not accepted: never where it
// was refused, not yet where its outcome is still unknown.
type ErrOperationNotExist struct {
	operation  string
	generation uint64
}

// Error names the operation.
func (e ErrOperationNotExist) Error() string {
	return fmt.Sprintf("operation %s was not accepted up to generation %d", e.operation, e.generation)
}

// Generation returns the generation up to which the answer is final.
func (e ErrOperationNotExist) Generation() uint64 { return e.generation }

// IsErrOperationNotExist reports whether err is or wraps ErrOperationNotExist.
func IsErrOperationNotExist(err error) bool {
	_, ok := errors.Into[ErrOperationNotExist](err)
	return ok
}

// ErrGenerationNotExist says that there is no record of a generation.
type ErrGenerationNotExist struct {
	generation uint64
}

// Error names the generation.
func (e ErrGenerationNotExist) Error() string {
	return fmt.Sprintf("generation %d does not exist", e.generation)
}

// IsErrGenerationNotExist reports whether err is or wraps ErrGenerationNotExist.
func IsErrGenerationNotExist(err error) bool {
	_, ok := errors.Into[ErrGenerationNotExist](err)
	return ok
}

// ErrContract says that a contract can't be kept to exactly.
type ErrContract struct {
	cause error
}

// Error returns the cause.
func (e ErrContract) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e ErrContract) Unwrap() error { return e.cause }

// IsErrContract reports whether err is or wraps ErrContract.
func IsErrContract(err error) bool {
	_, ok := errors.Into[ErrContract](err)
	return ok
}

// IsErrDenied reports whether a change was refused for its author's rights.
func IsErrDenied(err error) bool { return braccess.IsErrDenied(err) }

// IsErrRefused reports whether a change was refused for what it holds.
func IsErrRefused(err error) bool {
	return IsErrContract(err) || brmove.IsErrInfeasible(err) || braccess.IsErrLockout(err) || brcheck.IsErrInvalid(err) || brcheck.IsErrTooMany(err) || brselect.IsErrContradiction(err)
}

// Fault is what is wrong with one field of a resource.
type Fault struct {
	path    string
	message string
}

// Path returns kind, name and field.
func (f Fault) Path() string { return f.path }

// Message returns what is wrong.
func (f Fault) Message() string { return f.message }

// Faults returns the faults for which a change was refused, if they were told one by one.
func Faults(err error) []Fault {
	invalid, _ := errors.Into[brcheck.ErrInvalid](err)
	faults := []Fault{}
	for _, f := range invalid.Faults() {
		faults = append(faults, Fault{path: f.Path(), message: f.Message()})
	}
	return faults
}
