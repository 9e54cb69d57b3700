package brusage

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

// Cursor tracks what one other VM has of this VM's ledger, for a sender of messages to it. The
// receiver tells its run with each response, so that one that has restarted is sent everything
// again. The zero value is ready for use.
type Cursor struct {
	target  string
	run     string
	known   uint64 // changes up to this one have been received
	sentAt  time.Time
	pending uint64 // the latest change in the message that is under way, or 0
}

// Next returns the usage to send to a target. Counts are included at most once per period, and
// all of them if the target is new. The period holds for all targets together: a VM that
// searches for one that is fresh asks many within a short time.
func (c *Cursor) Next(now time.Time, target string, snapshot *Snapshot, period time.Duration) brmeter.Usage {
	if c.target != target {
		*c = Cursor{target: target, sentAt: c.sentAt}
	}
	c.pending = 0
	if now.Sub(c.sentAt) < period {
		return brmeter.NewUsage(snapshot.Run(), nil)
	}
	c.sentAt, c.pending = now, snapshot.Sequence()
	return brmeter.NewUsage(snapshot.Run(), snapshot.Since(c.known))
}

// Confirm records the response of the target to the latest message, with the target's run.
// Without a response, the same counts are included again in the next message.
func (c *Cursor) Confirm(run string) {
	switch {
	case run == "": // the target meters no usage
	case run != c.run && c.known > 0:
		c.run, c.known = run, 0
	case c.pending > 0:
		c.run, c.known = run, c.pending
	}
	c.pending = 0
}

// Fail records that the target did not respond.
func (c *Cursor) Fail() { c.pending = 0 }
