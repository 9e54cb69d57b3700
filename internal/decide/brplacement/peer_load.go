package brplacement

import (
	"math"
	"time"
)

// peerLoad estimates how many requests other VMs have at a server, from the load
// that the server reports with its answers. Requests above the mean are assumed
// to finish soon. Requests up to the mean are assumed to be replaced by new
// ones, so the mean decays slowly, and only while the server reports nothing.
type peerLoad struct {
	reported   float64 // requests in the latest report
	mean       float64 // exponentially decaying mean of the reports
	reportedAt time.Time
}

// observe records the number of requests that a server reported.
func (l *peerLoad) observe(now time.Time, reported float64) {
	kept := decay(now.Sub(l.reportedAt), peerMeanHalfLife)
	l.mean = kept*l.mean + (1-kept)*reported
	l.reported = reported
	l.reportedAt = now
}

// estimate returns the estimated number of requests of other VMs at the server.
func (l *peerLoad) estimate(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	return math.Max(l.mean*decay(age, peerMeanHalfLife)+(l.reported-l.mean)*decay(age, peerExcessHalfLife), 0)
}

// decay returns the fraction that is left of a value after age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
