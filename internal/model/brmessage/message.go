// Package brmessage provides requests and responses as they are forwarded,
// independent of the transport protocol.
//
// # Usage
//
//	call := brmessage.NewCall("GET", "/cylinders/7?full=1", brmessage.NewFields(nil), nil, 0)
//	response := brmessage.NewResponse(200, fields, body, nil)
//	defer response.Close()
package brmessage

import (
	"io"
	"iter"
	"slices"

	"github.com/go-faster/errors"
)

// Fields are the header fields of a message, by canonical name.
type Fields struct {
	values map[string][]string
}

// NewFields returns fields that take ownership of the values.
func NewFields(values map[string][]string) Fields {
	if values == nil {
		values = map[string][]string{}
	}
	return Fields{values: values}
}

// First returns the first value of a field, or "" if it is absent.
func (f Fields) First(name string) string {
	if values := f.values[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// Set replaces the values of a field.
func (f Fields) Set(name, value string) {
	f.values[name] = []string{value}
}

// Remove deletes a field.
func (f Fields) Remove(name string) {
	delete(f.values, name)
}

// Clone returns a deep copy.
func (f Fields) Clone() Fields {
	values := make(map[string][]string, len(f.values))
	for name, list := range f.values {
		values[name] = slices.Clone(list)
	}
	return Fields{values: values}
}

// All iterates over the fields in no particular order. The values must not be modified.
func (f Fields) All() iter.Seq2[string, []string] {
	return func(yield func(string, []string) bool) {
		for name, list := range f.values {
			if !yield(name, list) {
				return
			}
		}
	}
}

// Call is a request as it is forwarded to a backend server.
type Call struct {
	method string
	target string
	fields Fields
	body   io.Reader
	size   int64
}

// NewCall returns a request; the target is its encoded path and query. The body is
// nil if there is none; size is in bytes, or -1 if it is unknown.
func NewCall(method, target string, fields Fields, body io.Reader, size int64) Call {
	return Call{method: method, target: target, fields: fields, body: body, size: size}
}

// Method returns the method.
func (c Call) Method() string { return c.method }

// Target returns the encoded path and query.
func (c Call) Target() string { return c.target }

// Fields returns the header fields.
func (c Call) Fields() Fields { return c.fields }

// Body returns the body, or nil if there is none.
func (c Call) Body() io.Reader { return c.body }

// Size returns the size of the body in bytes, or -1 if it is unknown.
func (c Call) Size() int64 { return c.size }

// Response is what a backend server returned, with its body as a stream.
type Response struct {
	status   int
	fields   Fields
	body     io.ReadCloser
	trailers func() Fields
}

// NewResponse returns a response whose body has not been read. The trailers function
// is called after the end of the body; nil means that there are no trailers.
func NewResponse(status int, fields Fields, body io.ReadCloser, trailers func() Fields) *Response {
	return &Response{status: status, fields: fields, body: body, trailers: trailers}
}

// Status returns the status code.
func (r *Response) Status() int { return r.status }

// Fields returns the header fields.
func (r *Response) Fields() Fields { return r.fields }

// Body returns the body. The response is complete once the body reaches its end
// without an error.
func (r *Response) Body() io.Reader { return r.body }

// Trailers returns the trailer fields, which are available after the end of the body.
func (r *Response) Trailers() Fields {
	if r.trailers == nil {
		return NewFields(nil)
	}
	return r.trailers()
}

// Close releases the response, even if its body was not read to the end.
func (r *Response) Close() error {
	if err := r.body.Close(); err != nil {
		return errors.Errorf("close response body: %w", err)
	}
	return nil
}
