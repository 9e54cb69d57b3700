package brplace

import (
	"math"
	"time"
)

// crowd estimates how many requests other VMs have at a server, from the load
// that the server reports with its answers. Requests above the mean are assumed
// to finish soon. Requests up to the mean are assumed to be replaced by new
// ones, so the mean decays slowly, and only while the server reports nothing.
type crowd struct {
	told  float64 // requests in the latest report
	usual float64 // exponentially decaying mean of the reports
	at    time.Time
}

// learn records the number of requests that a server reported.
func (c *crowd) learn(now time.Time, told float64) {
	kept := remains(now.Sub(c.at), usualHalfLife)
	c.usual = kept*c.usual + (1-kept)*told
	c.told = told
	c.at = now
}

// now returns the estimated number of requests of other VMs at the server.
func (c *crowd) now(now time.Time) float64 {
	age := now.Sub(c.at)
	return math.Max(c.usual*remains(age, usualHalfLife)+(c.told-c.usual)*remains(age, othersHalfLife), 0)
}

// remains returns the fraction that is left of a value after age.
func remains(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
