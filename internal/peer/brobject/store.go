// Package brobject is the client of the platform's object store.
//
// Objects are written once and never changed, so a write whose response was lost
// can be repeated. Client uses the path-style object requests of S3 (PUT and GET of
// /bucket/name).
//
// # Usage
//
//	store := brobject.NewClient(httpClient, "http://10.0.0.9:9000/bergamotroad", time.Second)
//	err := store.Put(ctx, "deltas/7", data)
//	data, err := store.Get(ctx, "deltas/7")
package brobject

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// maxObjectBytes bounds the size of an object that is read.
const maxObjectBytes = 256 << 20

// Store is the platform's object store.
type Store interface {
	// Put writes an object. Writing the same object again has no effect.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads an object. It returns ErrObjectNotExist or ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Client is a Store over HTTP.
type Client struct {
	client  *http.Client
	address string
	timeout time.Duration
}

// NewClient returns a client of the bucket at a base URL. The timeout applies to
// each call.
func NewClient(client *http.Client, address string, timeout time.Duration) *Client {
	return &Client{client: client, address: address, timeout: timeout}
}

// Put writes an object.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	if _, err := c.call(ctx, http.MethodPut, name, data); err != nil {
		return errors.Errorf("put object %q: %w", name, err)
	}
	return nil
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := c.call(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, errors.Errorf("get object %q: %w", name, err)
	}
	return data, nil
}

func (c *Client) call(ctx context.Context, method, name string, data []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.address+"/"+name, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Errorf("create request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, NewErrUnavailable(err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
	case http.StatusNotFound:
		return nil, NewErrObjectNotExist(name)
	default:
		return nil, NewErrUnavailable(errors.Errorf("status %d", response.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxObjectBytes))
	if err != nil {
		return nil, NewErrUnavailable(errors.Errorf("read object: %w", err))
	}
	return body, nil
}

// ErrObjectNotExist means that no object with the name exists.
type ErrObjectNotExist struct {
	name string
}

// NewErrObjectNotExist returns the error for a name.
func NewErrObjectNotExist(name string) ErrObjectNotExist {
	return ErrObjectNotExist{name: name}
}

// Error returns a message with the name.
func (e ErrObjectNotExist) Error() string { return fmt.Sprintf("object %q does not exist", e.name) }

// IsErrObjectNotExist reports whether err is or wraps ErrObjectNotExist.
func IsErrObjectNotExist(err error) bool {
	_, ok := errors.Into[ErrObjectNotExist](err)
	return ok
}

// ErrUnavailable means that the store did not carry out the call or that its
// response was lost. A write may have taken effect.
type ErrUnavailable struct {
	cause error
}

// NewErrUnavailable returns the error with its cause.
func NewErrUnavailable(cause error) ErrUnavailable {
	return ErrUnavailable{cause: cause}
}

// Error returns the message with its cause.
func (e ErrUnavailable) Error() string { return fmt.Sprintf("object store unavailable: %v", e.cause) }

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.cause }

// IsErrUnavailable reports whether err is or wraps ErrUnavailable.
func IsErrUnavailable(err error) bool {
	_, ok := errors.Into[ErrUnavailable](err)
	return ok
}
