// Package brvmlist reads the platform's list of live and leaving VMs.
//
// The list lags behind reality: it may name the dead and omit the living.
// Client speaks the HTTP service discovery format of Prometheus: groups of
// targets with labels. The label "name" names the VM, "state" is "live" or
// "leaving".
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
)

// maxReply bounds what is read of a reply, in bytes.
const maxReply = 8 << 20

// List is the platform's list of VMs.
type List interface {
	// List returns the VMs that the platform knows of.
	List(ctx context.Context) ([]Entry, error)
}

// Entry is one VM of the list.
type Entry struct {
	name    string
	address string
	leaving bool
}

// NewEntry returns an entry of the list.
func NewEntry(name, address string, leaving bool) Entry {
	return Entry{name: name, address: address, leaving: leaving}
}

// Name returns the VM's name.
func (e Entry) Name() string { return e.name }

// Address returns host:port as listed.
func (e Entry) Address() string { return e.address }

// Leaving reports whether the platform says that the VM is leaving.
func (e Entry) Leaving() bool { return e.leaving }

// Client is a List over HTTP.
type Client struct {
	client  *http.Client
	address string
	timeout time.Duration
}

// NewClient returns a client of the list at a URL; each call takes no longer
// than the timeout.
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

// List returns the VMs that the platform knows of.
func (c *Client) List(ctx context.Context) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, c.address, nil)
	if err != nil {
		return nil, errors.Errorf("make request for list of VMs: %w", err)
	}
	answer, err := c.client.Do(call)
	if err != nil {
		return nil, errors.Errorf("get list of VMs: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Errorf("get list of VMs: status %d", answer.StatusCode)
	}
	var groups []group
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxReply)).Decode(&groups); err != nil {
		return nil, errors.Errorf("decode list of VMs: %w", err)
	}
	return entriesOf(groups), nil
}

func entriesOf(groups []group) []Entry {
	entries := []Entry{}
	for _, g := range groups {
		for _, target := range g.Targets {
			entries = append(entries, NewEntry(g.Labels.Name, target, g.Labels.State == "leaving"))
		}
	}
	return entries
}
