package brrecord

import "time"

// Batch is the result of one query for records. It is immutable.
type Batch struct {
	area     Area
	records  []Record
	revision uint64
	full     bool
	age      time.Duration
}

// NewBatch returns a batch of records that is complete up to a revision. A full
// batch replaces all known records of the area.
func NewBatch(area Area, records []Record, revision uint64, full bool) Batch {
	return Batch{area: area, records: records, revision: revision, full: full}
}

// Area returns the area of the records.
func (b Batch) Area() Area { return b.area }

// Records returns the records. The slice must not be modified.
func (b Batch) Records() []Record { return b.records }

// Revision returns the revision up to which the records are complete.
func (b Batch) Revision() uint64 { return b.revision }

// Full reports whether the batch replaces all known records of the area.
func (b Batch) Full() bool { return b.full }

// WithAge returns the batch with the time since it matched the store.
func (b Batch) WithAge(age time.Duration) Batch {
	b.age = age
	return b
}

// Age returns the time that had passed, when the batch was sent, since it matched
// the store.
func (b Batch) Age() time.Duration { return b.age }

// Revisions are the revisions up to which the areas are known; 0 means that
// nothing of an area is known.
type Revisions [AreaCount]uint64
