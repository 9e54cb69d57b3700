package brspreading

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const (
	// maxDeltas bounds the deltas that a VM keeps for others.
	maxDeltas = 1024
	// maxDeltaBytes bounds the size of all of them together.
	maxDeltaBytes = 4 << 20
)

// State is what a VM holds of the configuration. It is immutable.
type State struct {
	head       brdocument.Head
	snapshot   *brconfig.Snapshot
	deltas     [][]byte // the newest one leads to head
	deltaBytes int
	confirmed  time.Time
}

// Head returns the head that leads to the snapshot.
func (s State) Head() brdocument.Head { return s.head }

// Snapshot returns the configuration.
func (s State) Snapshot() *brconfig.Snapshot { return s.snapshot }

// Confirmed returns when the head was last known to be the newest one, or the
// zero time.
func (s State) Confirmed() time.Time { return s.confirmed }

// Covers reports whether the deltas reach back to a generation.
func (s State) Covers(generation uint64) bool {
	return generation >= s.oldest()
}

// DeltasAfter returns the encoded deltas that follow a generation, oldest
// first. There are none where the deltas do not reach back that far.
func (s State) DeltasAfter(generation uint64) [][]byte {
	if generation >= s.head.Generation() || !s.Covers(generation) {
		return nil
	}
	return s.deltas[generation-s.oldest():]
}

// oldest returns the generation that the oldest delta follows.
func (s State) oldest() uint64 {
	return s.head.Generation() - uint64(len(s.deltas))
}

// after returns the state after one more delta; the oldest deltas make room.
func (s State) after(head brdocument.Head, snapshot *brconfig.Snapshot, data []byte) State {
	deltas := append(s.deltas[:len(s.deltas):len(s.deltas)], data)
	size := s.deltaBytes + len(data)
	for len(deltas) > maxDeltas || size > maxDeltaBytes {
		size -= len(deltas[0])
		deltas = deltas[1:]
	}
	return State{head: head, snapshot: snapshot, deltas: deltas, deltaBytes: size}
}
