package brplacement

import (
	"math"
	"time"
)

const (
	// exchangeLifetime is how long the other VMs' own counts are used as they are. A new count
	// arrives several times in that time unless this VM is cut off.
	exchangeLifetime = 1200 * time.Millisecond
	// exchangedHalfLife is the half-life of the mean of these counts. They are about a second
	// old when they arrive: if VMs followed each of them, they would all send to the servers
	// that had few requests a second ago, and none to the others.
	exchangedHalfLife = 4 * time.Second
)

// peerLoad estimates how many requests other VMs have at a server, from the load
// that the server reports with its answers. Requests above the mean are assumed
// to finish soon. Requests up to the mean are assumed to be replaced by new
// ones, so the mean decays slowly, and only while the server reports nothing.
type peerLoad struct {
	reported   float64 // requests in the latest report
	mean       float64 // exponentially decaying mean of the reports
	reportedAt time.Time
	// exchangedAt is the time of the latest count by the other VMs themselves.
	exchangedAt time.Time
}

// observe records the number of requests that a server reported.
func (l *peerLoad) observe(now time.Time, reported float64) {
	kept := decay(now.Sub(l.reportedAt), peerMeanHalfLife)
	l.mean = kept*l.mean + (1-kept)*reported
	l.reported = reported
	l.reportedAt = now
}

// observeExchanged records the number of requests that the other VMs say they have there.
func (l *peerLoad) observeExchanged(now time.Time, count float64) {
	kept := decay(now.Sub(l.exchangedAt), exchangedHalfLife)
	l.mean = kept*l.mean + (1-kept)*count
	l.reported = l.mean
	l.reportedAt, l.exchangedAt = now, now
}

// isExchanged reports whether the other VMs' own counts are recent.
func (l *peerLoad) isExchanged(now time.Time) bool {
	return now.Sub(l.exchangedAt) <= exchangeLifetime
}

// estimate returns the estimated number of requests of other VMs at the server.
func (l *peerLoad) estimate(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	if l.isExchanged(now) {
		return math.Max(l.mean+(l.reported-l.mean)*decay(age, peerExcessHalfLife), 0)
	}
	return math.Max(l.mean*decay(age, peerMeanHalfLife)+(l.reported-l.mean)*decay(age, peerExcessHalfLife), 0)
}

// decay returns the fraction that is left of a value after age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
