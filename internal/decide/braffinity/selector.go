// Package braffinity decides which servers are the first ones for an object.
//
// Servers that have handled an object recently answer requests for it several times
// faster, so all VMs of a region send an object to the same few servers. Rendezvous
// hashing puts the servers into an order for each object. For a fixed part of the
// objects, the best server of the VM's own region is moved to the front; for the
// others, the best one of other regions.
//
// The order changes as little as possible when the fleet does: the part of the objects
// that a region keeps stays until it deviates from the region's slots by more than a
// tolerance, servers that are unavailable for a short time don't change it, and the
// objects of a failure domain that is being evacuated are distributed over all other
// servers.
//
// The policy is a type parameter. Nothing here depends on the time or on load.
//
// # Usage
//
//	selector := braffinity.NewSelector[*server, braffinity.Weighted]("este")
//	pool := selector.Pool(braffinity.NewGroup("lookup", false))
//	for _, s := range servers {
//		pool.Add(s, braffinity.Usable)
//	}
//	first := selector.Order("cylinder-7", pool, 4)
package braffinity

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// maxGroups bounds the groups of servers whose shares are kept.
const maxGroups = 1024

var (
	homeSalt  = xxhash.Sum64String("home")
	movedSalt = xxhash.Sum64String("moved")
)

// Node is what the order of servers depends on. It is immutable.
type Node struct {
	hash       uint64 // of the server's identifier
	region     string
	regionHash uint64
	slots      int
}

// NewNode returns the node of a server.
func NewNode(id, region string, slots int) Node {
	return Node{hash: xxhash.Sum64String(id), region: region, regionHash: xxhash.Sum64String(region), slots: max(slots, 1)}
}

// Server is a server that has a node.
type Server interface {
	comparable
	Node() *Node
}

// State tells whether a server that belongs to a pool may get requests.
type State int

const (
	// Usable servers get requests.
	Usable State = iota
	// Unavailable servers get no requests for a short time.
	Unavailable
	// Evacuated servers get no requests until the evacuation of their failure domain
	// ends.
	Evacuated
)

// Group identifies the pools of servers that succeed each other.
type Group struct {
	service string
	target  bool
}

// NewGroup returns the group of the servers of a service, or of those that run the
// target version of its rollout.
func NewGroup(service string, target bool) Group { return Group{service: service, target: target} }

// Pool holds the servers that may run a request.
type Pool[S Server] struct {
	group     Group
	usable    []S
	evacuated []S
	regions   Regions
}

// Add adds a server. Servers that are leaving don't belong to a pool.
func (p *Pool[S]) Add(server S, state State) {
	p.regions.add(server.Node(), state == Evacuated)
	switch state {
	case Usable:
		p.usable = append(p.usable, server)
	case Evacuated:
		p.evacuated = append(p.evacuated, server)
	default:
	}
}

// Usable returns the servers that get requests.
func (p *Pool[S]) Usable() []S { return p.usable }

// Selector orders servers for objects, for the VMs of one region. It is not safe for
// concurrent use.
type Selector[S Server, P Policy] struct {
	policy P
	region string
	kept   map[keptKey]float64
	pool   Pool[S]
	top    []ranked[S]
}

// keptKey identifies the servers to which a kept share refers.
type keptKey struct {
	group   Group
	regions uint64
}

// ranked is a server with its score for an object.
type ranked[S Server] struct {
	server S
	score  float64
	hash   uint64
	found  bool
}

// before reports whether the server comes before another one.
func (r *ranked[S]) before(other *ranked[S]) bool {
	switch {
	case !other.found:
		return r.found
	case r.score != other.score:
		return r.found && r.score > other.score
	default:
		return r.found && r.hash > other.hash
	}
}

// NewSelector returns the selector of a VM in a region.
func NewSelector[S Server, P Policy](region string) *Selector[S, P] {
	return &Selector[S, P]{region: region, kept: map[keptKey]float64{}}
}

// Pool returns an empty pool, which is valid until the next call.
func (s *Selector[S, P]) Pool(group Group) *Pool[S] {
	s.pool.group = group
	s.pool.usable, s.pool.evacuated = s.pool.usable[:0], s.pool.evacuated[:0]
	s.pool.regions.reset()
	return &s.pool
}

// Order returns the first servers for an object, as many as limit if there are enough.
func (s *Selector[S, P]) Order(object string, pool *Pool[S], limit int) []S {
	hash := xxhash.Sum64String(object)
	stays := fraction(homeSalt, hash) < s.keptShare(pool)
	own, others := s.rank(hash, pool, limit)
	front := others
	if stays {
		front = own
	}
	if s.policy.Redistributes() && s.hasEvacuatedFirst(hash, pool, stays, front) {
		front = others
		if fraction(movedSalt, hash) < pool.regions.RemainingShare(s.region) {
			front = own
		}
	}
	order := make([]S, 0, max(limit, 0))
	if front.found && limit > 0 {
		order = append(order, front.server)
	}
	for i := range s.top {
		if len(order) < limit && (!front.found || s.top[i].server != front.server) {
			order = append(order, s.top[i].server)
		}
	}
	return order
}

// Key returns a hash of an object and of the group and the regions of a pool, within which
// the object has one first server.
func (s *Selector[S, P]) Key(object string, pool *Pool[S]) uint64 {
	key := mix(xxhash.Sum64String(object), xxhash.Sum64String(pool.group.service)) ^ pool.regions.identity()
	if pool.group.target {
		return ^key
	}
	return key
}

// rank puts the servers with the highest scores into s.top, and returns the best server
// in the VM's region and the best one elsewhere.
func (s *Selector[S, P]) rank(hash uint64, pool *Pool[S], limit int) (own, others ranked[S]) {
	s.top = s.top[:0]
	equal := pool.regions.Equal()
	for _, server := range pool.usable {
		node := server.Node()
		best := &others
		if node.region == s.region {
			best = &own
		}
		mixed, score := s.score(hash, node, equal)
		// Most servers are neither among the first ones nor the best of their side.
		if limit > 0 && len(s.top) == limit && score < best.score && score < s.top[limit-1].score {
			continue
		}
		r := ranked[S]{server: server, score: score, hash: mixed, found: true}
		if r.before(best) {
			*best = r
		}
		s.insert(r, limit)
	}
	return own, others
}

// insert puts a server into s.top if it is one of the first ones.
func (s *Selector[S, P]) insert(r ranked[S], limit int) {
	if len(s.top) < limit {
		s.top = append(s.top, r)
	} else if limit <= 0 || !r.before(&s.top[limit-1]) {
		return
	}
	i := len(s.top) - 1
	for ; i > 0 && r.before(&s.top[i-1]); i-- {
		s.top[i] = s.top[i-1]
	}
	s.top[i] = r
}

// score returns the hash of an object and a server, and the server's score. Servers with equal
// slots are ordered by the hash itself, since its rounded logarithm has fewer digits.
func (s *Selector[S, P]) score(hash uint64, node *Node, equal bool) (mixed uint64, score float64) {
	mixed = mix(hash, node.hash)
	if equal {
		return mixed, float64(mixed)
	}
	return mixed, s.policy.Score(mixed, node.slots)
}

// hasEvacuatedFirst reports whether the first server for an object would be one that is being
// evacuated.
func (s *Selector[S, P]) hasEvacuatedFirst(hash uint64, pool *Pool[S], stays bool, front ranked[S]) bool {
	equal := pool.regions.Equal()
	for _, server := range pool.evacuated {
		node := server.Node()
		if (node.region == s.region) != stays {
			continue
		}
		mixed, score := s.score(hash, node, equal)
		if r := (ranked[S]{server: server, score: score, hash: mixed, found: true}); r.before(&front) {
			return true
		}
	}
	return false
}

// keptShare returns the fraction of objects that the region keeps. The fraction in use
// changes only as far as the policy's tolerance requires.
func (s *Selector[S, P]) keptShare(pool *Pool[S]) float64 {
	share, tolerance := s.policy.KeptShare(&pool.regions, s.region)
	if tolerance == 0 {
		return share
	}
	key := keptKey{group: pool.group, regions: pool.regions.identity()}
	kept, ok := s.kept[key]
	if !ok {
		if len(s.kept) >= maxGroups {
			clear(s.kept)
		}
		kept = share
	}
	kept = math.Min(math.Max(kept, share-tolerance), share+tolerance)
	s.kept[key] = kept
	return kept
}
