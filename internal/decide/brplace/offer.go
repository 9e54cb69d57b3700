package brplace

import "time"

const (
	// knownServers is the number of servers that get an object while its service
	// is busy.
	knownServers = 2
	// calmServers is the number of servers that may get an object while its
	// service has spare capacity.
	calmServers = 4
	// Queue lengths as fractions of a server's slots. The wait in a shortQueue
	// is a fraction of one request's work, shorter than the extra work of a
	// server that does not have the object cached.
	noQueue    = 0
	shortQueue = 0.35
	knownQueue = 0.25
	nextQueue  = 0.15
	longQueue  = 0.6
)

// offer is a rule for placing a request on one of the first servers in its
// object's order, with a limit on the server's queue.
type offer struct {
	places int     // number of servers, from the first in the order
	knows  bool    // only servers to which this VM recently sent the object
	queue  float64 // maximum queue length, as a fraction of the server's slots
}

// offers are the placement rules, in order of preference. Waiting for a server
// that has the object cached comes before using one that does not: a cache miss
// takes several times as long and takes capacity from other objects too.
var offers = []offer{
	{places: 1, queue: shortQueue},
	{places: calmServers, knows: true, queue: knownQueue},
	{places: 1, queue: longQueue},
	{places: calmServers, queue: noQueue},
	{places: knownServers, queue: nextQueue},
}

// covers reports whether the rule applies to a server at a place in the order.
func (o offer) covers(now time.Time, ask Ask, place int, one *server) bool {
	return place < o.places && (!o.knows || one.memory.has(now, ask.object))
}
