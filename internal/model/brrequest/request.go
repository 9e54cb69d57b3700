// Package brrequest provides a caller's request as decisions see it, independent
// of its encoding, and the results of those decisions.
//
// # Usage
//
//	request := brrequest.New(id, "GET", "/cylinders/7", client).
//		WithKeyHash(hash).
//		WithDeadline(deadline)
package brrequest

import (
	"crypto/sha256"
	"net/netip"
	"time"
)

// Request holds the properties of a caller's request that decisions depend on. It
// is immutable.
type Request struct {
	id       string
	method   string
	path     string
	client   netip.Addr
	keyHash  KeyHash
	deadline time.Time
	size     int64
	host     string
	key      string
	object   string
	arrived  time.Time
}

// KeyHash is the SHA-256 of a caller's API key. The zero KeyHash stands for no key.
type KeyHash [32]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// IsZero reports whether no key was presented.
func (h KeyHash) IsZero() bool { return h == KeyHash{} }

// New returns a request of unknown size, without an API key or deadline.
func New(id, method, path string, client netip.Addr) Request {
	return Request{id: id, method: method, path: path, client: client, size: -1}
}

// WithKeyHash returns the request with the hash of the caller's API key.
func (r Request) WithKeyHash(hash KeyHash) Request {
	r.keyHash = hash
	return r
}

// WithDeadline returns the request with the caller's deadline.
func (r Request) WithDeadline(deadline time.Time) Request {
	r.deadline = deadline
	return r
}

// WithSize returns the request with the size of its body in bytes, or -1 if it is
// unknown.
func (r Request) WithSize(bytes int64) Request {
	r.size = bytes
	return r
}

// WithHost returns the request with its target host.
func (r Request) WithHost(host string) Request {
	r.host = host
	return r
}

// WithKey returns the request with the caller's API key, for fleets whose
// configuration lists keys rather than their hashes.
func (r Request) WithKey(key string) Request {
	r.key = key
	return r
}

// WithObject returns the request with the name of the object that it concerns.
func (r Request) WithObject(object string) Request {
	r.object = object
	return r
}

// WithArrival returns the request with the time at which its header was read.
func (r Request) WithArrival(arrived time.Time) Request {
	r.arrived = arrived
	return r
}

// Host returns the target host.
func (r Request) Host() string { return r.host }

// Key returns the caller's API key, or "" if there is none.
func (r Request) Key() string { return r.key }

// Object returns the name of the object that the request concerns, or "" if there
// is none.
func (r Request) Object() string { return r.object }

// Arrived returns the time at which the request's header was read.
func (r Request) Arrived() time.Time { return r.arrived }

// ID returns the identifier, which is unique across all VMs.
func (r Request) ID() string { return r.id }

// Method returns the method.
func (r Request) Method() string { return r.method }

// Path returns the decoded path.
func (r Request) Path() string { return r.path }

// Client returns the caller's address.
func (r Request) Client() netip.Addr { return r.client }

// KeyHash returns the hash of the caller's API key.
func (r Request) KeyHash() KeyHash { return r.keyHash }

// Deadline returns the caller's deadline, or the zero time if there is none.
func (r Request) Deadline() time.Time { return r.deadline }

// Size returns the size of the body in bytes, or -1 if it is unknown.
func (r Request) Size() int64 { return r.size }
