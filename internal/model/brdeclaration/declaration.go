// Package brdeclaration provides resources as they are declared in a document: where they
// stand, and the text of their fields, to compare two versions of a document.
//
// # Usage
//
//	declaration := brdeclaration.New("route", "cylinders", brdeclaration.Line(data, offset)).
//		WithField("timeout", `"3s"`)
package brdeclaration

import (
	"bytes"
	"fmt"
	"maps"

	"github.com/go-faster/errors"
)

// ErrInvalid is returned when a resource of a document can't be decoded.
type ErrInvalid struct {
	line  int
	cause error
}

// NewErrInvalid returns the error for the resource that begins on a line.
func NewErrInvalid(line int, cause error) ErrInvalid { return ErrInvalid{line: line, cause: cause} }

// Error returns the line and the cause.
func (e ErrInvalid) Error() string { return fmt.Sprintf("line %d: %v", e.line, e.cause) }

// Unwrap returns the cause.
func (e ErrInvalid) Unwrap() error { return e.cause }

// Line returns the line on which the resource begins, from 1.
func (e ErrInvalid) Line() int { return e.line }

// IsErrInvalid reports whether err is or wraps ErrInvalid.
func IsErrInvalid(err error) bool {
	_, ok := errors.Into[ErrInvalid](err)
	return ok
}

// Declaration is a resource of a document. It is immutable.
type Declaration struct {
	kind   string
	name   string
	file   string
	line   int
	fields map[string]string
}

// New returns a declaration without fields that begins on a line of its document.
func New(kind, name string, line int) Declaration {
	return Declaration{kind: kind, name: name, line: line}
}

// WithFile returns the declaration with the name of the file of its document.
func (d Declaration) WithFile(file string) Declaration {
	d.file = file
	return d
}

// WithField returns the declaration with a field in a canonical form.
func (d Declaration) WithField(name, value string) Declaration {
	fields := maps.Clone(d.fields)
	if fields == nil {
		fields = map[string]string{}
	}
	fields[name] = value
	d.fields = fields
	return d
}

// Kind returns the kind of the resource.
func (d Declaration) Kind() string { return d.kind }

// Name returns the name of the resource.
func (d Declaration) Name() string { return d.name }

// File returns the name of the file, if it is known.
func (d Declaration) File() string { return d.file }

// Line returns the line on which the declaration begins, from 1.
func (d Declaration) Line() int { return d.line }

// Fields returns the canonical form of each field. The map must not be modified.
func (d Declaration) Fields() map[string]string { return d.fields }

// Line returns the line of a byte of a document, from 1.
func Line(document []byte, offset int) int {
	return 1 + bytes.Count(document[:min(max(offset, 0), len(document))], []byte("\n"))
}
