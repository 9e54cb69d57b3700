package brdistributor

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const (
	// maxDeltas limits the number of deltas that a VM keeps for other VMs.
	maxDeltas = 1024
	// maxDeltaBytes limits the total size of these deltas.
	maxDeltaBytes = 4 << 20
)

// State is a VM's configuration with its recent deltas. It is immutable.
type State struct {
	head       brdocument.Head
	snapshot   *brconfig.Snapshot
	deltas     [][]byte // oldest first; the last one leads to head
	deltaBytes int
	confirmed  time.Time
}

// Head returns the head that identifies the snapshot.
func (s State) Head() brdocument.Head { return s.head }

// Snapshot returns the configuration at the head.
func (s State) Snapshot() *brconfig.Snapshot { return s.snapshot }

// Confirmed returns the time at which the head was last confirmed as the newest
// one, or the zero time if it never was.
func (s State) Confirmed() time.Time { return s.confirmed }

// Covers reports whether all deltas after a generation are kept.
func (s State) Covers(generation uint64) bool {
	return generation >= s.oldest()
}

// DeltasAfter returns the encoded deltas after a generation, oldest first. It
// returns none if the kept deltas do not reach back that far.
func (s State) DeltasAfter(generation uint64) [][]byte {
	if generation >= s.head.Generation() || !s.Covers(generation) {
		return nil
	}
	return s.deltas[generation-s.oldest():]
}

// oldest returns the generation that the oldest kept delta applies to.
func (s State) oldest() uint64 {
	return s.head.Generation() - uint64(len(s.deltas))
}

// after returns the state with one more delta, without the oldest deltas where
// their number or size exceeds the limits.
func (s State) after(head brdocument.Head, snapshot *brconfig.Snapshot, data []byte) State {
	deltas := append(s.deltas[:len(s.deltas):len(s.deltas)], data)
	size := s.deltaBytes + len(data)
	for len(deltas) > maxDeltas || size > maxDeltaBytes {
		size -= len(deltas[0])
		deltas = deltas[1:]
	}
	return State{head: head, snapshot: snapshot, deltas: deltas, deltaBytes: size}
}
