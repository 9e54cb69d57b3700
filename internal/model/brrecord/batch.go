package brrecord

import "time"

// Batch is the result of one query for records. It is immutable.
type Batch struct {
	area     Area
	records  []Record
	revision Revision
	full     bool
	age      time.Duration
	coverage Coverage
}

// Coverage is the time up to the state of a batch for which its sender knows the servers
// without a gap, and so knows that the store was available. It is immutable.
type Coverage struct {
	length      time.Duration
	afterOutage bool
}

// NewCoverage returns a coverage of the given length. afterOutage tells that it began when
// an outage of the store ended.
func NewCoverage(length time.Duration, afterOutage bool) Coverage {
	return Coverage{length: length, afterOutage: afterOutage}
}

// Length returns the length of the time without a gap.
func (c Coverage) Length() time.Duration { return c.length }

// AfterOutage reports whether the store was unavailable before that time.
func (c Coverage) AfterOutage() bool { return c.afterOutage }

// NewBatch returns a batch of records that is complete up to a revision. A full
// batch replaces all known records of the area.
func NewBatch(area Area, records []Record, revision Revision, full bool) Batch {
	return Batch{area: area, records: records, revision: revision, full: full}
}

// Area returns the area of the records.
func (b Batch) Area() Area { return b.area }

// Records returns the records. The slice must not be modified.
func (b Batch) Records() []Record { return b.records }

// Revision returns the revision up to which the records are complete.
func (b Batch) Revision() Revision { return b.revision }

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

// WithCoverage returns the batch of another VM with what that VM knows of the time before it.
func (b Batch) WithCoverage(coverage Coverage) Batch {
	b.coverage = coverage
	return b
}

// Coverage returns what the sender knows of the time before the batch. It is empty for a
// batch from the store.
func (b Batch) Coverage() Coverage { return b.coverage }

// Revisions are the revisions up to which the areas are known; 0 means that
// nothing of an area is known.
type Revisions [AreaCount]Revision
