// Package brlockout decides when a caller has presented too many unknown keys, to
// keep keys from being guessed by brute force.
//
// Failures are counted by source: an IPv4 address or an IPv6 /64. Each source
// has a token bucket that allows some failures at once and then a few per
// minute. When it is empty, keys from the source are refused without being
// checked, except for keys that were valid from the same source before, so that
// callers who share an address with an attacker are still served. Memory is
// bounded: the least recently used sources and keys are evicted.
//
// # Usage
//
//	limiter := brlockout.NewLimiter()
//	if wait, blocked := limiter.Blocked(client, hash, now); blocked {
//		// refuse, try again after wait
//	}
//	limiter.RecordFailure(client, now) // or limiter.RecordSuccess(client, hash)
package brlockout

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	burstFailures     = 20 // failures in a row before a source is blocked
	failuresPerMinute = 10
	maxSources        = 16384
	maxValidKeys      = 65536
	ipv6PrefixLength  = 64 // length of the IPv6 prefix that counts as one source: a client commonly holds all its addresses
)

// Limiter tracks the sources that presented unknown keys. It is not safe for
// concurrent use.
type Limiter struct {
	sources   *simplelru.LRU[netip.Addr, *brshare.Bucket]
	validKeys *simplelru.LRU[validKey, struct{}]
}

type validKey struct {
	source netip.Addr
	hash   brrequest.KeyHash
}

// NewLimiter returns a limiter without any failures.
func NewLimiter() *Limiter {
	sources, err := simplelru.NewLRU[netip.Addr, *brshare.Bucket](maxSources, nil)
	if err != nil {
		panic(err) // only fails for a size below 1
	}
	validKeys, err := simplelru.NewLRU[validKey, struct{}](maxValidKeys, nil)
	if err != nil {
		panic(err)
	}
	return &Limiter{sources: sources, validKeys: validKeys}
}

// Blocked reports whether a key from a client is to be refused without a check,
// and how long the client has to wait before it may try again.
func (l *Limiter) Blocked(client netip.Addr, hash brrequest.KeyHash, now time.Time) (time.Duration, bool) {
	source := sourceOf(client)
	bucket, ok := l.sources.Get(source)
	if !ok || bucket.Level(now) > 0 {
		return 0, false
	}
	if l.validKeys.Contains(validKey{source: source, hash: hash}) {
		return 0, false
	}
	wait, _ := bucket.Wait(1, now)
	return wait, true
}

// RecordFailure records an unknown key.
func (l *Limiter) RecordFailure(client netip.Addr, now time.Time) {
	source := sourceOf(client)
	bucket, ok := l.sources.Get(source)
	if !ok {
		bucket = newBucket(now)
		l.sources.Add(source, bucket)
	}
	bucket.Take(1, now)
}

// RecordSuccess records a valid key.
func (l *Limiter) RecordSuccess(client netip.Addr, hash brrequest.KeyHash) {
	l.validKeys.Add(validKey{source: sourceOf(client), hash: hash}, struct{}{})
}

// newBucket returns a full bucket, so that a new source has its whole burst.
func newBucket(now time.Time) *brshare.Bucket {
	share := brshare.NewShare(failuresPerMinute, time.Minute, burstFailures)
	full := now.Add(-time.Minute * burstFailures / failuresPerMinute)
	return brshare.NewBucket(share, full)
}

func sourceOf(client netip.Addr) netip.Addr {
	client = client.Unmap()
	if !client.Is6() {
		return client
	}
	prefix, err := client.WithZone("").Prefix(ipv6PrefixLength)
	if err != nil {
		return client
	}
	return prefix.Addr()
}
