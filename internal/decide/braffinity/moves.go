package braffinity

import "time"

const (
	// maxTracked bounds the objects whose first server is remembered.
	maxTracked = 4096
	// trackedTime is how long an object is remembered after the latest request for it at
	// least, if there are more than maxTracked.
	trackedTime = time.Minute
)

// Cause tells why the first server of an object changed.
type Cause int

const (
	// CauseAdded is that the new first server was added.
	CauseAdded Cause = iota
	// CauseRemoved is that the former one was removed, or drains.
	CauseRemoved
	// CauseEvacuated is that an evacuation of a failure domain began or ended.
	CauseEvacuated
	// CauseUnavailable is that a server gets no requests for a short time, or gets them
	// again.
	CauseUnavailable
	// CauseRegion is that the part of the objects that a region keeps has changed.
	CauseRegion
	// CauseOther is any other change, such as of a version or of slots.
	CauseOther
	causes
)

// Causes returns all causes.
func Causes() []Cause {
	list := make([]Cause, 0, causes)
	for c := range causes {
		list = append(list, c)
	}
	return list
}

// String returns the cause as in metrics and logs.
func (c Cause) String() string {
	return [causes]string{"added", "removed", "evacuated", "unavailable", "region", "other"}[c]
}

// Moves counts objects whose first server changed, by cause.
type Moves struct {
	counts [causes]int
}

// Count returns the number of objects that moved for a cause.
func (m Moves) Count(cause Cause) int { return m.counts[cause] }

// Tracker remembers the first servers of recently requested objects and counts those that
// change.
type Tracker struct {
	objects map[uint64]sighting
	expired time.Time // of the latest call of expire
	moves   Moves
}

// sighting is the first server of an object at the latest request for it.
type sighting struct {
	server string
	left   string // the server that the object left since it was unavailable
	at     time.Time
}

// NewTracker returns a tracker that remembers no objects.
func NewTracker() *Tracker { return &Tracker{objects: map[uint64]sighting{}} }

// Record records the first server of an object. cause is called if it has changed since the
// request at the given time. At maxTracked, objects without requests for trackedTime are
// forgotten; if there are none, the new object is not recorded.
func (t *Tracker) Record(now time.Time, object uint64, server string, cause func(former string, since time.Time) Cause) {
	last, known := t.objects[object]
	switch {
	case !known:
		if len(t.objects) >= maxTracked {
			t.expire(now)
		}
		if len(t.objects) >= maxTracked {
			return
		}
	case last.server != server && last.left == server:
		t.moves.counts[CauseUnavailable]++
		last.left = ""
	case last.server != server:
		c := cause(last.server, last.at)
		t.moves.counts[c]++
		last.left = ""
		if c == CauseUnavailable {
			last.left = last.server
		}
	default:
	}
	last.server, last.at = server, now
	t.objects[object] = last
}

// expire forgets objects without recent requests, at most once a second, since it visits
// all of them.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expired) < time.Second {
		return
	}
	t.expired = now
	for object, s := range t.objects {
		if now.Sub(s.at) > trackedTime {
			delete(t.objects, object)
		}
	}
}

// TakeMoves returns the moves since the previous call.
func (t *Tracker) TakeMoves() Moves {
	moves := t.moves
	t.moves = Moves{}
	return moves
}
