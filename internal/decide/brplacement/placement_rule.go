package brplacement

import "time"

const (
	// busySpread is the number of servers that may get an object while its service
	// is busy.
	busySpread = 2
	// normalSpread is the number of servers that may get an object while its
	// service has spare capacity.
	normalSpread = 4
	// Queue lengths as fractions of a server's slots. The wait in a queue of
	// length shortQueue is a fraction of the time of one request, less than the
	// extra time that a cache miss takes.
	noQueue       = 0
	shortQueue    = 0.35
	cachedQueue   = 0.25
	fallbackQueue = 0.15
	longQueue     = 0.6
)

// placementRule is a rule for placing a request on one of the first servers in its
// object's order, with a limit on the server's queue.
type placementRule struct {
	servers  int     // number of servers, from the first in the order
	cached   bool    // only servers to which this VM recently sent the object
	maxQueue float64 // maximum queue length, as a fraction of the server's slots
}

// placementRules are the placement rules, in order of preference. Waiting for a server
// that has the object cached comes before using one that does not: a cache miss
// takes several times as long and takes capacity from other objects too.
var placementRules = []placementRule{
	{servers: 1, maxQueue: shortQueue},
	{servers: normalSpread, cached: true, maxQueue: cachedQueue},
	{servers: 1, maxQueue: longQueue},
	{servers: normalSpread, maxQueue: noQueue},
	{servers: busySpread, maxQueue: fallbackQueue},
}

// applies reports whether the rule applies to the server at a position in the order.
func (r placementRule) applies(now time.Time, query Query, position int, srv *server) bool {
	return position < r.servers && (!r.cached || srv.recent.has(now, query.object))
}
