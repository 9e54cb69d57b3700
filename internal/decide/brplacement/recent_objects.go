package brplacement

import (
	"maps"
	"time"
)

const (
	// cacheTime is how long a server is assumed to have an object cached after
	// a request for it. Within that time it handles some tens of other objects.
	cacheTime = 10 * time.Second
	// maxObjects bounds the objects kept for a server. It is above what servers
	// cache.
	maxObjects = 256
)

// recentObjects holds the objects for which this VM recently sent requests to a server.
type recentObjects struct {
	sentAt map[string]time.Time
}

// add records that a request for an object is sent. At maxObjects, expired objects
// are removed first; if none has expired, the new one is not recorded.
func (r *recentObjects) add(now time.Time, object string) {
	if object == "" {
		return
	}
	if r.sentAt == nil {
		r.sentAt = map[string]time.Time{}
	}
	if _, ok := r.sentAt[object]; !ok && len(r.sentAt) >= maxObjects {
		r.expire(now)
	}
	if len(r.sentAt) < maxObjects {
		r.sentAt[object] = now
	}
}

func (r *recentObjects) expire(now time.Time) {
	maps.DeleteFunc(r.sentAt, func(_ string, at time.Time) bool { return now.Sub(at) > cacheTime })
}

// has reports whether a request for the object was sent within cacheTime.
func (r *recentObjects) has(now time.Time, object string) bool {
	at, ok := r.sentAt[object]
	return ok && now.Sub(at) <= cacheTime
}
