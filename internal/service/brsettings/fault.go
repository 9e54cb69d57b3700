package brsettings

import (
	"cmp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Fault is one thing that is wrong with the settings.
type Fault struct {
	path string
	text string
}

// Path returns where in the file the fault lies, as "callers.address".
func (f Fault) Path() string { return f.path }

// Text returns what is wrong.
func (f Fault) Text() string { return f.text }

// ErrInvalid says that settings have faults.
type ErrInvalid struct {
	faults []Fault
}

// Faults returns all faults, ordered by path.
func (e ErrInvalid) Faults() []Fault { return slices.Clone(e.faults) }

// Error returns the faults, a line each.
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
