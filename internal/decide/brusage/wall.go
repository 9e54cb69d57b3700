package brusage

import "time"

// minStep is the smallest change between the time of day and the steady clock that counts as a
// step. Readings of the two clocks differ by less, and clocks that are adjusted gradually
// change by less between two readings.
const minStep = 50 * time.Millisecond

// Instant is one reading of the steady clock and of the corrected time of day.
type Instant struct {
	steady time.Duration
	wall   time.Time
}

// NewInstant returns an instant.
func NewInstant(steady time.Duration, wall time.Time) Instant {
	return Instant{steady: steady, wall: wall}
}

// Steady returns the steady clock's reading, which includes suspended time.
func (i Instant) Steady() time.Duration { return i.steady }

// Wall returns the corrected time of day.
func (i Instant) Wall() time.Time { return i.wall }

// Corrector removes steps from the time of day: it keeps the offset to the steady clock when
// the time of day jumps, and follows gradual adjustments. It is not safe for concurrent use.
type Corrector struct {
	started bool
	offset  time.Duration // time of day less steady clock, at the latest reading
	steps   time.Duration // sum of the steps so far
}

// Correct returns the instant of a reading of both clocks.
func (c *Corrector) Correct(steady time.Duration, timeOfDay time.Time) Instant {
	offset := time.Duration(timeOfDay.UnixNano()) - steady
	if step := offset - c.offset; c.started && step.Abs() >= minStep {
		c.steps += step
	}
	c.started, c.offset = true, offset
	return Instant{steady: steady, wall: time.Unix(0, timeOfDay.UnixNano()).Add(-c.steps)}
}

// At returns the instant of a reading of the steady clock alone, with the offset of the latest
// reading of both.
func (c *Corrector) At(steady time.Duration) Instant {
	return Instant{steady: steady, wall: time.Unix(0, int64(steady+c.offset-c.steps))}
}
