// Package bradmin is a client of the administration API of a VM.
//
// A change with an idempotency key is retried if its response is lost, since the
// API applies it at most once.
//
// # Usage
//
//	client := bradmin.NewClient(httpClient, "http://10.0.0.2:7500", token)
//	result, err := client.Apply(ctx, documents, bradmin.ChangeOptions{}.WithIdempotencyKey(uuid.NewString()))
//	if bradmin.IsErrConflict(err) {
//		// read the resource again and repeat the change
//	}
package bradmin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// maxResponseBytes is the maximum size of a response body, in bytes.
	maxResponseBytes = 256 << 20
	// maxAttempts is the maximum number of times that a change is sent if its
	// response is lost.
	maxAttempts = 3
)

// Client calls the API of one VM.
type Client struct {
	client  *http.Client
	address string
	token   string
}

// NewClient returns a client of the API at a base URL. It sends a bearer token
// unless token is "".
func NewClient(client *http.Client, address, token string) *Client {
	return &Client{client: client, address: strings.TrimSuffix(address, "/"), token: token}
}

// ChangeOptions holds the options of a change.
type ChangeOptions struct {
	idempotencyKey     string
	expectedGeneration string // entity tag, or ""
	restoredGeneration uint64
}

// WithIdempotencyKey returns the options with an idempotency key. Changes with the
// same key are applied at most once.
func (o ChangeOptions) WithIdempotencyKey(key string) ChangeOptions {
	o.idempotencyKey = key
	return o
}

// WithExpectedGeneration returns the options with a precondition: the change is
// refused if one of its resources has changed after a generation.
func (o ChangeOptions) WithExpectedGeneration(generation uint64) ChangeOptions {
	o.expectedGeneration = strconv.Quote(strconv.FormatUint(generation, 10))
	return o
}

// WithRestoredGeneration returns the options of a change that restores the resources
// of an earlier generation.
func (o ChangeOptions) WithRestoredGeneration(generation uint64) ChangeOptions {
	o.restoredGeneration = generation
	return o
}

func (o ChangeOptions) query() url.Values {
	if o.restoredGeneration == 0 {
		return nil
	}
	return url.Values{"from": {strconv.FormatUint(o.restoredGeneration, 10)}}
}

// Apply creates or updates resources, given as JSON documents.
func (c *Client) Apply(ctx context.Context, documents []json.RawMessage, options ChangeOptions) (ChangeResult, error) {
	return c.change(ctx, http.MethodPost, "/v1/apply", options, encodeDocuments(documents))
}

// Delete deletes a resource.
func (c *Client) Delete(ctx context.Context, kind, name string, options ChangeOptions) (ChangeResult, error) {
	return c.change(ctx, http.MethodDelete, resourcePath(kind, name), options, nil)
}

type labelsRequest struct {
	Set    map[string]string `json:"set,omitempty"`
	Remove []string          `json:"remove,omitempty"`
}

// Label sets and removes labels of a resource.
func (c *Client) Label(ctx context.Context, kind, name string, set map[string]string, remove []string, options ChangeOptions) (ChangeResult, error) {
	body, err := json.Marshal(labelsRequest{Set: set, Remove: remove})
	if err != nil {
		return ChangeResult{}, errors.Errorf("encode labels: %w", err)
	}
	return c.change(ctx, http.MethodPatch, resourcePath(kind, name)+"/labels", options, body)
}

// change sends a change. If the response is lost, it retries changes that have an
// idempotency key, because only they can be repeated safely. If a retry is then
// refused as unavailable, it returns the error of the lost response, since the
// earlier attempt may have been applied.
func (c *Client) change(ctx context.Context, method, path string, options ChangeOptions, body []byte) (ChangeResult, error) {
	var lostErr error
	for range maxAttempts {
		var reply changeReply
		raw, err := c.call(ctx, method, path, options.query(), options, body, &reply)
		if err == nil {
			return newChangeResult(raw, reply), nil
		}
		if !mayHaveTakenEffect(err) {
			if lostErr != nil && IsErrUnavailable(err) {
				return ChangeResult{}, lostErr
			}
			return ChangeResult{}, err
		}
		lostErr = err
		if options.idempotencyKey == "" || ctx.Err() != nil {
			break
		}
	}
	return ChangeResult{}, lostErr
}

// Plan returns the changes that Apply would make.
func (c *Client) Plan(ctx context.Context, documents []json.RawMessage, options ChangeOptions) (Plan, error) {
	var reply planReply
	raw, err := c.call(ctx, http.MethodPost, "/v1/plan", options.query(), options, encodeDocuments(documents), &reply)
	if err != nil {
		return Plan{}, err
	}
	return newPlan(raw, reply), nil
}

// List reads the resources of a kind that match all labels, each given as
// name=value or name.
func (c *Client) List(ctx context.Context, kind string, labels []string) (List, error) {
	var reply listReply
	raw, err := c.call(ctx, http.MethodGet, "/v1/resources/"+url.PathEscape(kind), url.Values{"label": labels}, ChangeOptions{}, nil, &reply)
	if err != nil {
		return List{}, err
	}
	return newList(raw, reply), nil
}

// Get reads a resource.
func (c *Client) Get(ctx context.Context, kind, name string) (List, error) {
	var reply resourceReply
	raw, err := c.call(ctx, http.MethodGet, resourcePath(kind, name), nil, ChangeOptions{}, nil, &reply)
	if err != nil {
		return List{}, err
	}
	return newList(raw, listReply{Generation: reply.Generation, Resources: []resourceDocument{reply.Resource}}), nil
}

// History reads up to limit accepted changes, newest first.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var reply historyReply
	raw, err := c.call(ctx, http.MethodGet, "/v1/history", url.Values{"limit": {strconv.Itoa(limit)}}, ChangeOptions{}, nil, &reply)
	if err != nil {
		return History{}, err
	}
	return newHistory(raw, reply), nil
}

// Operation reads the history entry of an accepted operation.
func (c *Client) Operation(ctx context.Context, id string) (History, error) {
	var reply entryReply
	raw, err := c.call(ctx, http.MethodGet, "/v1/operations/"+url.PathEscape(id), nil, ChangeOptions{}, nil, &reply)
	if err != nil {
		return History{}, err
	}
	return newHistory(raw, historyReply{Entries: []entryReply{reply}}), nil
}

// Status reads the status of the VM.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var reply statusReply
	raw, err := c.call(ctx, http.MethodGet, "/v1/status", nil, ChangeOptions{}, nil, &reply)
	if err != nil {
		return Status{}, err
	}
	return Status{raw: raw, vm: reply.VM, generation: reply.Generation, resources: reply.Resources}, nil
}

func encodeDocuments(documents []json.RawMessage) []byte {
	if len(documents) == 0 {
		return nil
	}
	parts := make([][]byte, 0, len(documents))
	for _, d := range documents {
		parts = append(parts, d)
	}
	return append(append([]byte{'['}, bytes.Join(parts, []byte{','})...), ']')
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, options ChangeOptions, body []byte, reply any) (json.RawMessage, error) {
	target := c.address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Errorf("create request: %w", err)
	}
	setHeaders(request.Header, c.token, options)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, ErrNoResponse{operation: options.idempotencyKey, cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, ErrNoResponse{operation: options.idempotencyKey, cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, decodeRefusal(response.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return nil, ErrNoResponse{operation: options.idempotencyKey, cause: errors.Errorf("decode response: %w", err)}
	}
	return raw, nil
}

func setHeaders(header http.Header, token string, options ChangeOptions) {
	if token != "" {
		header.Set("Authorization", "Bearer "+token)
	}
	if options.idempotencyKey != "" {
		header.Set("Idempotency-Key", options.idempotencyKey)
	}
	if options.expectedGeneration != "" {
		header.Set("If-Match", options.expectedGeneration)
	}
}
