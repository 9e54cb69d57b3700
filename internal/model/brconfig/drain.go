package brconfig

import "time"

// Drain takes traffic off a backend server, VM, failure domain or region.
type Drain struct {
	Meta
	target Reference
	at     time.Time
	by     time.Time
}

// NewDrain returns a drain of a target that starts at a time and ends by another.
func NewDrain(meta Meta, target Reference, at, by time.Time) Drain {
	return Drain{Meta: meta, target: target, at: at, by: by}
}

// Kind returns KindDrain.
func (Drain) Kind() Kind { return KindDrain }

// References returns the target.
func (d Drain) References() []Reference { return []Reference{d.target} }

// Claims returns the target, which has one drain at most.
func (d Drain) Claims() []Claim { return []Claim{NewClaim("drain of", d.target.String())} }

// Target returns what is drained.
func (d Drain) Target() Reference { return d.target }

// At returns when the drain starts.
func (d Drain) At() time.Time { return d.at }

// By returns when the target carries no traffic any more.
func (d Drain) By() time.Time { return d.by }
