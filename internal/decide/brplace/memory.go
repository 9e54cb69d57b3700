package brplace

import (
	"maps"
	"time"
)

const (
	// memoryTime is how long a server is assumed to have an object cached after
	// a request for it: the time in which it handles some tens of other objects.
	memoryTime = 10 * time.Second
	// maxObjects bounds the objects kept for a server. It is above what servers
	// cache.
	maxObjects = 256
)

// memory holds the objects for which this VM recently sent requests to a server.
type memory struct {
	sent map[string]time.Time
}

// add records that a request for an object is sent. A full memory drops expired
// objects; if none has expired, the new one is not recorded.
func (m *memory) add(now time.Time, object string) {
	if object == "" {
		return
	}
	if m.sent == nil {
		m.sent = map[string]time.Time{}
	}
	if _, ok := m.sent[object]; !ok && len(m.sent) >= maxObjects {
		m.forget(now)
	}
	if len(m.sent) < maxObjects {
		m.sent[object] = now
	}
}

func (m *memory) forget(now time.Time) {
	maps.DeleteFunc(m.sent, func(_ string, at time.Time) bool { return now.Sub(at) > memoryTime })
}

// has reports whether a request for the object was sent within memoryTime.
func (m *memory) has(now time.Time, object string) bool {
	at, ok := m.sent[object]
	return ok && now.Sub(at) <= memoryTime
}
