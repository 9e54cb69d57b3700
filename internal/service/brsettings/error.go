package brsettings

import (
	"cmp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// FieldError is a validation error of one setting.
type FieldError struct {
	path    string
	message string
}

// Path returns the path of the setting in the file, such as "callers.address".
func (f FieldError) Path() string { return f.path }

// Message describes the error.
func (f FieldError) Message() string { return f.message }

// ErrInvalid is returned for invalid settings.
type ErrInvalid struct {
	fieldErrors []FieldError
}

// FieldErrors returns all validation errors, ordered by path.
func (e ErrInvalid) FieldErrors() []FieldError { return slices.Clone(e.fieldErrors) }

// Error returns the validation errors, one per line.
func (e ErrInvalid) Error() string {
	lines := make([]string, 0, len(e.fieldErrors))
	for _, f := range e.fieldErrors {
		lines = append(lines, f.path+": "+f.message)
	}
	return strings.Join(lines, "\n")
}

// IsErrInvalid reports whether err is or wraps ErrInvalid.
func IsErrInvalid(err error) bool {
	_, ok := errors.Into[ErrInvalid](err)
	return ok
}

type errorList struct {
	list []FieldError
}

func (e *errorList) add(path, message string) {
	e.list = append(e.list, FieldError{path: path, message: message})
}

func (e *errorList) err() error {
	if len(e.list) == 0 {
		return nil
	}
	slices.SortStableFunc(e.list, func(a, b FieldError) int { return cmp.Compare(a.path, b.path) })
	return ErrInvalid{fieldErrors: e.list}
}
