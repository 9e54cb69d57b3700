package brplace

import (
	"maps"
	"time"
)

const (
	// memoryTime is how long a server is taken to know an object that it was sent:
	// the time in which it handles some tens of others.
	memoryTime = 10 * time.Second
	// maxObjects is how many objects are kept for a server; it bounds memory, and
	// is above what servers know.
	maxObjects = 256
)

// memory is which objects this VM has sent to a server lately.
type memory struct {
	sent map[string]time.Time
}

// add takes note of an object that is sent. A full memory forgets what is old,
// and takes nothing where nothing is.
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

// has reports whether an object was sent lately.
func (m *memory) has(now time.Time, object string) bool {
	at, ok := m.sent[object]
	return ok && now.Sub(at) <= memoryTime
}
