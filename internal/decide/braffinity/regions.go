package braffinity

// Regions holds the slots of the servers of each region.
type Regions struct {
	list      []regionSlots // in the order in which they were added
	servers   int
	slots     int
	squares   int // sum of the squares of the servers' slots
	evacuated int
	smallest  int // slots of the smallest server
	largest   int // slots of the largest server
}

type regionSlots struct {
	name      string
	hash      uint64
	slots     int
	evacuated int // of these slots
}

// add counts the slots of a server.
func (r *Regions) add(n *Node, evacuated bool) {
	if r.slots == 0 {
		r.smallest = n.slots
	}
	r.smallest, r.largest = min(r.smallest, n.slots), max(r.largest, n.slots)
	r.servers++
	r.slots += n.slots
	r.squares += n.slots * n.slots
	region := r.find(n)
	region.slots += n.slots
	if evacuated {
		r.evacuated += n.slots
		region.evacuated += n.slots
	}
}

func (r *Regions) find(n *Node) *regionSlots {
	for i := range r.list {
		if r.list[i].name == n.region {
			return &r.list[i]
		}
	}
	r.list = append(r.list, regionSlots{name: n.region, hash: n.regionHash})
	return &r.list[len(r.list)-1]
}

func (r *Regions) reset() {
	*r = Regions{list: r.list[:0]}
}

// identity returns a hash of the names of the regions.
func (r *Regions) identity() uint64 {
	hash := uint64(0)
	for i := range r.list {
		hash ^= r.list[i].hash
	}
	return hash
}

// Len returns the number of regions that have servers.
func (r *Regions) Len() int { return len(r.list) }

// Equal reports whether all servers have equally many slots.
func (r *Regions) Equal() bool { return r.smallest == r.largest }

// Variation returns the variance of the servers' slots as a fraction of the square of their
// mean; 0 means that all are equal.
func (r *Regions) Variation() float64 {
	if r.Equal() {
		return 0
	}
	return float64(r.squares)*float64(r.servers)/(float64(r.slots)*float64(r.slots)) - 1
}

// Share returns the share of a region in all slots.
func (r *Regions) Share(region string) float64 {
	for i := range r.list {
		if r.list[i].name == region {
			return ratio(r.list[i].slots, r.slots)
		}
	}
	return 0
}

// RemainingShare returns the share of a region in the slots of the servers that are not
// being evacuated.
func (r *Regions) RemainingShare(region string) float64 {
	for i := range r.list {
		if r.list[i].name == region {
			return ratio(r.list[i].slots-r.list[i].evacuated, r.slots-r.evacuated)
		}
	}
	return 0
}

func ratio(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
