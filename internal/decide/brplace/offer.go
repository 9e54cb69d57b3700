package brplace

import "time"

const (
	// knownServers is how many servers an object is kept to when its service is busy.
	knownServers = 2
	// calmServers is how many servers may get an object when its service has room.
	calmServers = 4
	// The queues are requests that may wait at a server, in parts of its slots:
	// those of shortQueue wait for a part of one request's work, less than a
	// server that does not know the object would lose.
	noQueue    = 0
	shortQueue = 0.35
	knownQueue = 0.25
	nextQueue  = 0.15
	longQueue  = 0.6
)

// offer is a way to place a request: among the first servers of its object's
// order, with a queue.
type offer struct {
	places int     // how many of the first servers
	knows  bool    // only those to which this VM has sent the object lately
	queue  float64 // requests that may wait there, in parts of the server's slots
}

// offers are the ways to place a request, the best first. A server that does not
// know the object comes after a wait at one that does, since it takes several
// times as long and fills up for others too.
var offers = []offer{
	{places: 1, queue: shortQueue},
	{places: calmServers, knows: true, queue: knownQueue},
	{places: 1, queue: longQueue},
	{places: calmServers, queue: noQueue},
	{places: knownServers, queue: nextQueue},
}

// covers reports whether an offer concerns the server at a place of the order.
func (o offer) covers(now time.Time, ask Ask, place int, one *server) bool {
	return place < o.places && (!o.knows || one.memory.has(now, ask.object))
}
