package brsettings

import (
	"cmp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Fault is a validation error of one setting.
type Fault struct {
	path string
	text string
}

// Path returns the path of the setting in the file, such as "callers.address".
func (f Fault) Path() string { return f.path }

// Text describes the error.
func (f Fault) Text() string { return f.text }

// ErrInvalid is returned for invalid settings.
type ErrInvalid struct {
	faults []Fault
}

// Faults returns all validation errors, ordered by path.
func (e ErrInvalid) Faults() []Fault { return slices.Clone(e.faults) }

// Error returns the validation errors, one per line.
func (e ErrInvalid) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.path+": "+f.text)
	}
	return strings.Join(lines, "\n")
}

// IsErrInvalid reports whether err is or wraps ErrInvalid.
func IsErrInvalid(err error) bool {
	_, ok := errors.Into[ErrInvalid](err)
	return ok
}

type faults struct {
	list []Fault
}

func (f *faults) add(path, text string) {
	f.list = append(f.list, Fault{path: path, text: text})
}

func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	slices.SortStableFunc(f.list, func(a, b Fault) int { return cmp.Compare(a.path, b.path) })
	return ErrInvalid{faults: f.list}
}
