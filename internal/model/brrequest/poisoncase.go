package brrequest

import (
	"slices"
	"time"
)

// PoisonCase is what VMs know of a request that crashes servers, and pass on to VMs that
// start later: that it is refused, or the servers that crashed so far. It is immutable.
type PoisonCase struct {
	fingerprint Fingerprint
	servers     []string
	isRefused   bool
	end         time.Time
}

// NewRefusedCase returns the case of a request that is refused until a time.
func NewRefusedCase(fingerprint Fingerprint, end time.Time) PoisonCase {
	return PoisonCase{fingerprint: fingerprint, isRefused: true, end: end}
}

// NewSuspectCase returns the case of a request that is suspected until a time, because the
// servers crashed while they ran it. The slice must not be modified afterwards.
func NewSuspectCase(fingerprint Fingerprint, servers []string, end time.Time) PoisonCase {
	return PoisonCase{fingerprint: fingerprint, servers: servers, end: end}
}

// Fingerprint returns the fingerprint of the request.
func (c PoisonCase) Fingerprint() Fingerprint { return c.fingerprint }

// IsRefused reports whether the request is refused.
func (c PoisonCase) IsRefused() bool { return c.isRefused }

// Servers returns the servers that crashed, for a request that is not refused. The slice must
// not be modified.
func (c PoisonCase) Servers() []string { return c.servers }

// End returns when the refusal or the suspicion ends, by the clock of this VM.
func (c PoisonCase) End() time.Time { return c.end }

// Covers reports whether a VM that knows this case learns nothing from another one of the same
// request.
func (c PoisonCase) Covers(o PoisonCase) bool {
	if c.isRefused || o.isRefused {
		return c.isRefused
	}
	isNew := func(server string) bool { return !slices.Contains(c.servers, server) }
	return !slices.ContainsFunc(o.servers, isNew)
}
