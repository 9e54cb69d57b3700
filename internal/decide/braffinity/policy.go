package braffinity

import "math"

const (
	// homeShare is the fraction of objects for which a region uses its own servers if all
	// regions have equal shares of the slots. The other objects use other regions, which
	// evens out differences in demand.
	homeShare = 0.65
	// shareTolerance is by how much a region's number of objects may deviate from what
	// its slots call for, as a fraction, before the share of objects that it keeps is
	// adjusted. Deviations of several regions add up to twice that at most.
	shareTolerance = 0.025
	// fullVariation is the variation of slots from which regions get objects by their slots
	// alone, that of servers with 4 and 5 slots in equal numbers. Below, the share changes
	// gradually from that of earlier releases: one server of another size in a fleet of
	// equal ones must not move the objects of others.
	fullVariation = 0.0123
)

// Policy determines how the order of servers depends on their slots and regions.
type Policy interface {
	// Score returns the score of a server for an object, from the hash of both and the
	// server's slots. The server with the highest score is the first.
	Score(hash uint64, slots int) float64
	// KeptShare returns the fraction of objects for which a region uses its own servers,
	// and by how much the fraction in use may deviate from it.
	KeptShare(regions *Regions, own string) (share, tolerance float64)
	// Redistributes reports whether the objects of servers that are being evacuated are
	// distributed over the other servers of all regions, while all other objects keep
	// their servers. Otherwise evacuated servers count as removed.
	Redistributes() bool
}

// Weighted gives each server a share of the objects in proportion to its slots, by weighted
// rendezvous hashing. A server that is added or removed moves only its own objects.
type Weighted struct{}

// Score returns slots/-ln(u) for the hash u in (0, 1), so that the probability of the
// highest score is proportional to the slots.
func (Weighted) Score(hash uint64, slots int) float64 {
	return float64(slots) / -math.Log((float64(hash>>11)+0.5)/(1<<53))
}

// KeptShare returns the share with which every region gets objects in proportion to its
// slots if all regions have equal demand. Where all servers are equal, it returns homeShare
// times the ratio of the region's slots to the mean of all regions, as earlier releases did:
// their servers have the objects cached.
func (Weighted) KeptShare(regions *Regions, own string) (share, tolerance float64) {
	count, slots := float64(regions.Len()), regions.Share(own)
	tolerance = shareTolerance * math.Min(count*slots, 1)
	former := homeShare * count * slots
	if count < 2 {
		return former, tolerance
	}
	// Region r keeps t(r) = 1-(1-w(r))x(r) of its objects and sends the others elsewhere in
	// proportion to the slots w. The objects in each region are in proportion to w where
	// x(r) = 1-w(r)k, for any k. This k makes t = homeShare for equal regions.
	k := count * (1 - (1-homeShare)*count/(count-1))
	balanced := 1 - (1-slots)*math.Max(1-slots*k, 0)
	return former + (balanced-former)*math.Min(regions.Variation()/fullVariation, 1), tolerance
}

// Redistributes returns true.
func (Weighted) Redistributes() bool { return true }
