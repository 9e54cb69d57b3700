package brusage

import (
	"maps"
	"slices"
	"strings"

	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

// retainedWindows is the number of windows before the current one for which counts are kept. It
// covers an outage of the store of about a minute, after which their reports are late but right.
const retainedWindows = 12

// blockKey identifies the counts of one run of a VM's process in one window.
type blockKey struct {
	vm     string
	run    string
	window int64
}

// block holds the counts of a blockKey. Its entries are shared with snapshots and therefore
// replaced, not modified, once they have been published.
type block struct {
	key       blockKey
	entries   []entry // sorted by organisation
	closed    bool
	direct    bool // counted here or reported by the VM itself
	sequence  uint64
	closing   uint64 // the change at which the block was closed
	published bool
}

type entry struct {
	organisation string
	count        uint64
	sequence     uint64
}

// Ledger holds the counts of this VM and those that other VMs sent. Counts are keyed by VM, run
// and window and only grow, so that messages may be lost, repeated or reordered. Changes are
// numbered, so that another VM is sent only those that it doesn't have. It is not safe for
// concurrent use.
type Ledger struct {
	vm       string
	run      string
	sequence uint64
	blocks   map[blockKey]*block
}

// NewLedger returns an empty ledger of a VM in one run of its process.
func NewLedger(vm, run string) *Ledger {
	return &Ledger{vm: vm, run: run, blocks: map[blockKey]*block{}}
}

// Add counts one request of this VM.
func (l *Ledger) Add(window int64, organisation string) {
	b := l.block(blockKey{vm: l.vm, run: l.run, window: window}, true)
	i, found := b.find(organisation)
	count := uint64(1)
	if found {
		count += b.entries[i].count
	}
	l.set(b, organisation, count)
}

// Close records that this VM's counts of a window are complete.
func (l *Ledger) Close(window int64) {
	l.close(l.block(blockKey{vm: l.vm, run: l.run, window: window}, true))
}

// Merge adds counts that another VM sent. Direct means that it counted them itself or got them
// from the VM that did, so that this VM passes them on.
func (l *Ledger) Merge(counts brmeter.Counts, direct bool) {
	if counts.VM() == l.vm && counts.Run() == l.run {
		return
	}
	b := l.block(blockKey{vm: counts.VM(), run: counts.Run(), window: counts.Window()}, direct)
	for organisation, count := range counts.Counts() {
		if i, found := b.find(organisation); !found || b.entries[i].count < count {
			l.set(b, organisation, count)
		}
	}
	if counts.Closed() {
		l.close(b)
	}
}

// Prune removes the windows that are older than the retained ones before the current one, and
// those that are more than one ahead of it.
func (l *Ledger) Prune(current int64) {
	maps.DeleteFunc(l.blocks, func(k blockKey, _ *block) bool {
		return k.window < current-retainedWindows || k.window > current+1
	})
}

// Sequence returns the number of the latest change.
func (l *Ledger) Sequence() uint64 { return l.sequence }

// Snapshot returns the current counts. It shares them with the ledger without being affected
// by later changes.
func (l *Ledger) Snapshot() *Snapshot {
	s := &Snapshot{run: l.run, sequence: l.sequence, blocks: make([]block, 0, len(l.blocks))}
	for _, b := range l.blocks {
		b.published = true
		s.blocks = append(s.blocks, *b)
	}
	return s
}

func (l *Ledger) block(key blockKey, direct bool) *block {
	b, ok := l.blocks[key]
	if !ok {
		b = &block{key: key}
		l.blocks[key] = b
	}
	b.direct = b.direct || direct
	return b
}

func (l *Ledger) set(b *block, organisation string, count uint64) {
	l.sequence++
	b.sequence = l.sequence
	if b.published {
		b.entries, b.published = slices.Clone(b.entries), false
	}
	e := entry{organisation: organisation, count: count, sequence: l.sequence}
	if i, found := b.find(organisation); found {
		b.entries[i] = e
	} else {
		b.entries = slices.Insert(b.entries, i, e)
	}
}

func (l *Ledger) close(b *block) {
	if b.closed {
		return
	}
	l.sequence++
	b.closed, b.sequence, b.closing = true, l.sequence, l.sequence
}

func (b *block) find(organisation string) (int, bool) {
	return slices.BinarySearchFunc(b.entries, organisation, func(e entry, name string) int {
		return strings.Compare(e.organisation, name)
	})
}

// Snapshot is the state of a ledger at one time. It is immutable.
type Snapshot struct {
	run      string
	sequence uint64
	blocks   []block
}

// Run returns the identifier of the ledger's run.
func (s *Snapshot) Run() string { return s.run }

// Sequence returns the number of the latest change.
func (s *Snapshot) Sequence() uint64 { return s.sequence }

// Reporters returns the number of VMs' runs whose counts this VM passes on, with its own.
func (s *Snapshot) Reporters() int {
	runs := map[string]bool{}
	for _, b := range s.blocks {
		if b.direct {
			runs[b.key.run] = true
		}
	}
	return len(runs)
}

// Since returns the counts that this VM passes on and that changed after a change.
func (s *Snapshot) Since(sequence uint64) []brmeter.Counts {
	changed := []brmeter.Counts{}
	for _, b := range s.blocks {
		if !b.direct || b.sequence <= sequence {
			continue
		}
		counts := map[string]uint64{}
		for _, e := range b.entries {
			if e.sequence > sequence {
				counts[e.organisation] = e.count
			}
		}
		changed = append(changed, brmeter.NewCounts(b.key.vm, b.key.run, b.key.window, b.closed, counts))
	}
	return changed
}

// Total returns the sum of all counts of a window, and false if no VM has told of it.
func (s *Snapshot) Total(window int64) (map[string]uint64, bool) {
	total, known := map[string]uint64{}, false
	for _, b := range s.blocks {
		if b.key.window != window {
			continue
		}
		known = true
		for _, e := range b.entries {
			total[e.organisation] += e.count
		}
	}
	return total, known
}

// Missing returns how many runs of VMs have not completed a window, of those that are expected
// to: each that told of the window, or completed the one before.
func (s *Snapshot) Missing(window int64) (missing, expected int) {
	type runKey struct{ vm, run string }
	closed := map[runKey]bool{}
	for _, b := range s.blocks {
		key := runKey{vm: b.key.vm, run: b.key.run}
		switch {
		case b.key.window == window-1 && b.closed:
			if _, known := closed[key]; !known {
				closed[key] = false
			}
		case b.key.window == window:
			closed[key] = b.closed
		}
	}
	for _, done := range closed {
		if !done {
			missing++
		}
	}
	return missing, len(closed)
}

// First returns the earliest window that any VM has told of.
func (s *Snapshot) First() (int64, bool) {
	first, known := int64(0), false
	for _, b := range s.blocks {
		if !known || b.key.window < first {
			first, known = b.key.window, true
		}
	}
	return first, known
}
