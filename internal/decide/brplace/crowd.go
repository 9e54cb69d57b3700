package brplace

import (
	"math"
	"time"
)

// crowd is what a VM believes of the requests that other VMs have at a server.
// A server tells their number with its answers. What goes beyond the usual
// number ends soon; the usual number is replaced by as many new ones, and
// is forgotten only where the server tells nothing for long.
type crowd struct {
	told  float64 // requests, when last told
	usual float64 // mean of what was told lately
	at    time.Time
}

// learn takes the number of requests that a server told.
func (c *crowd) learn(now time.Time, told float64) {
	kept := remains(now.Sub(c.at), usualHalfLife)
	c.usual = kept*c.usual + (1-kept)*told
	c.told = told
	c.at = now
}

// now returns how many requests of other VMs are believed to be at the server.
func (c *crowd) now(now time.Time) float64 {
	age := now.Sub(c.at)
	return math.Max(c.usual*remains(age, usualHalfLife)+(c.told-c.usual)*remains(age, othersHalfLife), 0)
}

// remains returns the part that is left after a time.
func remains(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
