package brtable

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// maxReplyBytes bounds the part of a response body that is read.
const maxReplyBytes = 8 << 20

// Client is a Table over HTTP.
type Client struct {
	client  *http.Client
	address string
	timeout time.Duration
}

// NewClient returns a client of the service at a base URL. The timeout applies to
// each call.
func NewClient(client *http.Client, address string, timeout time.Duration) *Client {
	return &Client{client: client, address: address, timeout: timeout}
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeReply struct {
	Rows []keyValue `json:"kvs"`
}

type compareRequest struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type operationRequest struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type transactionRequest struct {
	Compare []compareRequest   `json:"compare,omitempty"`
	Success []operationRequest `json:"success,omitempty"`
}

type transactionReply struct {
	Succeeded bool `json:"succeeded"`
}

// Read returns a row.
func (c *Client) Read(ctx context.Context, key string) (Row, error) {
	rows, err := c.read(ctx, rangeRequest{Key: []byte(key)})
	if err != nil {
		return Row{}, errors.Errorf("read row %q: %w", key, err)
	}
	if len(rows) == 0 {
		return Row{}, NewErrRowNotExist(key)
	}
	return rows[0], nil
}

// Scan returns the rows whose keys start with a prefix.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	rows, err := c.read(ctx, rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
	if err != nil {
		return nil, errors.Errorf("scan rows %q: %w", prefix, err)
	}
	return rows, nil
}

// Commit writes all rows of the transaction or none.
func (c *Client) Commit(ctx context.Context, transaction Transaction) error {
	var reply transactionReply
	if err := c.call(ctx, "/v3/kv/txn", encodeTransaction(transaction), &reply); err != nil {
		return errors.Errorf("commit transaction: %w", err)
	}
	if !reply.Succeeded {
		return ErrPrecondition{}
	}
	return nil
}

func (c *Client) read(ctx context.Context, request rangeRequest) ([]Row, error) {
	var reply rangeReply
	if err := c.call(ctx, "/v3/kv/range", request, &reply); err != nil {
		// A read changes nothing, so an unknown outcome counts as unavailable.
		return nil, NewErrUnavailable(err)
	}
	rows := make([]Row, 0, len(reply.Rows))
	for _, r := range reply.Rows {
		rows = append(rows, NewRow(string(r.Key), r.Value, r.ModRevision))
	}
	return rows, nil
}

func (c *Client) call(ctx context.Context, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return NewErrUnavailable(errors.Errorf("encode request: %w", err))
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address+path, bytes.NewReader(body))
	if err != nil {
		return NewErrUnavailable(errors.Errorf("create request: %w", err))
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot retry, and so never sends a transaction
	// twice.
	httpRequest.GetBody = nil
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return classifyError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		return NewErrUnavailable(errors.Errorf("status %d", response.StatusCode))
	}
	if response.StatusCode != http.StatusOK {
		return NewErrOutcomeUnknown(errors.Errorf("status %d", response.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply); err != nil {
		return NewErrOutcomeUnknown(errors.Errorf("decode reply: %w", err))
	}
	return nil
}

// classifyError returns ErrUnavailable if the connection failed before the request was
// sent, and ErrOutcomeUnknown otherwise.
func classifyError(err error) error {
	if dial, ok := errors.Into[*net.OpError](err); ok && dial.Op == "dial" {
		return NewErrUnavailable(err)
	}
	return NewErrOutcomeUnknown(err)
}

func encodeTransaction(transaction Transaction) transactionRequest {
	request := transactionRequest{}
	for _, p := range transaction.Preconditions() {
		request.Compare = append(request.Compare, compareRequest{
			Key:         []byte(p.Key()),
			Target:      "MOD",
			Result:      "EQUAL",
			ModRevision: p.Version(),
		})
	}
	for _, w := range transaction.Writes() {
		request.Success = append(request.Success, encodeWrite(w))
	}
	return request
}

func encodeWrite(write Write) operationRequest {
	if write.Deletes() {
		return operationRequest{Delete: &deleteRequest{Key: []byte(write.Key())}}
	}
	return operationRequest{Put: &putRequest{Key: []byte(write.Key()), Value: write.Value()}}
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
