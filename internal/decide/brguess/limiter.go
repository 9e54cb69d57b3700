// Package brguess decides when a caller has presented too many unknown keys.
//
// Each source of callers (an IPv4 address, an IPv6 /64) may fail a few times
// in a row and then once in a while. Beyond that its keys are refused unseen,
// but for keys that were good from there before, so that callers who share an
// address with a guesser go on. The memory is bounded: the sources and keys
// that were seen longest ago are forgotten.
//
// # Usage
//
//	limiter := brguess.NewLimiter()
//	if wait, blocked := limiter.Blocked(client, hash, now); blocked {
//		// refuse, try again after wait
//	}
//	limiter.Failed(client, now) // or limiter.Succeeded(client, hash)
package brguess

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	failuresAtOnce    = 20 // in a row, before a source is blocked
	failuresPerMinute = 10
	maxSources        = 16384
	maxGoodKeys       = 65536
	prefixBits        = 64 // of an IPv6 address that one caller can choose from
)

// Limiter remembers which sources failed. It has one owner.
type Limiter struct {
	sources *simplelru.LRU[netip.Addr, *brshare.Bucket]
	good    *simplelru.LRU[goodKey, struct{}]
}

type goodKey struct {
	source netip.Addr
	hash   brrequest.KeyHash
}

// NewLimiter returns a limiter that has seen nothing.
func NewLimiter() *Limiter {
	sources, err := simplelru.NewLRU[netip.Addr, *brshare.Bucket](maxSources, nil)
	if err != nil {
		panic(err) // the size is a constant above 0
	}
	good, err := simplelru.NewLRU[goodKey, struct{}](maxGoodKeys, nil)
	if err != nil {
		panic(err)
	}
	return &Limiter{sources: sources, good: good}
}

// Blocked reports whether a key from a client is refused unseen, and the time
// after which another try makes sense.
func (l *Limiter) Blocked(client netip.Addr, hash brrequest.KeyHash, now time.Time) (time.Duration, bool) {
	source := sourceOf(client)
	bucket, ok := l.sources.Get(source)
	if !ok || bucket.Level(now) > 0 {
		return 0, false
	}
	if l.good.Contains(goodKey{source: source, hash: hash}) {
		return 0, false
	}
	wait, _ := bucket.Wait(1, now)
	return wait, true
}

// Failed notes an unknown key.
func (l *Limiter) Failed(client netip.Addr, now time.Time) {
	source := sourceOf(client)
	bucket, ok := l.sources.Get(source)
	if !ok {
		bucket = newBucket(now)
		l.sources.Add(source, bucket)
	}
	bucket.Take(1, now)
}

// Succeeded notes a key that was good.
func (l *Limiter) Succeeded(client netip.Addr, hash brrequest.KeyHash) {
	l.good.Add(goodKey{source: sourceOf(client), hash: hash}, struct{}{})
}

// newBucket returns a full bucket: a new source may fail at once.
func newBucket(now time.Time) *brshare.Bucket {
	share := brshare.NewShare(failuresPerMinute, time.Minute, failuresAtOnce)
	full := now.Add(-time.Minute * failuresAtOnce / failuresPerMinute)
	return brshare.NewBucket(share, full)
}

func sourceOf(client netip.Addr) netip.Addr {
	client = client.Unmap()
	if !client.Is6() {
		return client
	}
	prefix, err := client.WithZone("").Prefix(prefixBits)
	if err != nil {
		return client
	}
	return prefix.Addr()
}
