// Package brvmlist reads the platform's list of live and leaving VMs.
//
// The list may be out of date: it may contain VMs that are dead and lack VMs that
// are live. Client reads the HTTP service discovery format of Prometheus: groups
// of targets with labels. The label "name" is the name of the VM, and "state" is
// "live" or "leaving".
//
// # Usage
//
//	list := brvmlist.NewClient(httpClient, "http://10.0.0.9:8500/vms", time.Second)
//	entries, err := list.List(ctx)
package brvmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brarray"
)

// maxReplyBytes bounds the part of a response body that is read.
const maxReplyBytes = 8 << 20

// List is the platform's list of VMs.
type List interface {
	// List returns all VMs on the list.
	List(ctx context.Context) ([]Entry, error)
}

// Entry is one VM of the list.
type Entry struct {
	name    string
	address string
	leaving bool
}

// NewEntry returns an entry for the VM at host:port.
func NewEntry(name, address string, leaving bool) Entry {
	return Entry{name: name, address: address, leaving: leaving}
}

// Name returns the VM's name.
func (e Entry) Name() string { return e.name }

// Address returns the address, host:port, as it is on the list.
func (e Entry) Address() string { return e.address }

// Leaving reports whether the VM is marked as leaving.
func (e Entry) Leaving() bool { return e.leaving }

// Client is a List over HTTP.
type Client struct {
	client  *http.Client
	address string
	timeout time.Duration
}

// NewClient returns a client of the list at a URL. The timeout applies to each
// call.
func NewClient(client *http.Client, address string, timeout time.Duration) *Client {
	return &Client{client: client, address: address, timeout: timeout}
}

type group struct {
	Targets []string    `json:"targets"`
	Labels  groupLabels `json:"labels"`
}

type groupLabels struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// List returns all VMs on the list.
func (c *Client) List(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.address, nil)
	if err != nil {
		return nil, errors.Errorf("create request for list of VMs: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.Errorf("get list of VMs: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("get list of VMs: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, errors.Errorf("read list of VMs: %w", err)
	}
	groups, err := brarray.Split(body)
	if err != nil {
		return nil, errors.Errorf("decode list of VMs: %w", err)
	}
	return decodeGroups(groups), nil
}

// decodeGroups decodes the groups of the list. One that another writer left in a form that
// can't be decoded names no VM; the others count.
func decodeGroups(groups [][]byte) []Entry {
	entries := []Entry{}
	for _, text := range groups {
		g := group{}
		if err := json.Unmarshal(text, &g); err != nil {
			continue
		}
		for _, target := range g.Targets {
			entries = append(entries, NewEntry(g.Labels.Name, target, g.Labels.State == "leaving"))
		}
	}
	return entries
}
