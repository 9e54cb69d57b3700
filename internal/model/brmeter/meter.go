// Package brmeter provides the values of usage metering: the counts of requests by
// organisation and window, the reports that the platform gets, the lease under which one VM
// sends them, and the terms on which it does. All of them are immutable.
//
// # Usage
//
//	counts := brmeter.NewCounts("vm-3", run, window, false, map[string]uint64{"yefi": 4})
//	report := brmeter.NewReport(window, map[string]uint64{"yefi": 412})
//	lease := brmeter.NewLease("vm-1", run, 12).WithNext(window + 1).WithPending([]brmeter.Report{report})
package brmeter

import "time"

// Terms are the operators' terms of usage metering.
type Terms struct {
	window time.Duration
	late   time.Duration
	lease  time.Duration
}

// NewTerms returns terms with the length of a window, the time after the end of a window at
// which its report is late, and the length of the lease.
func NewTerms(window, late, lease time.Duration) Terms {
	return Terms{window: window, late: late, lease: lease}
}

// Enabled reports whether usage is metered.
func (t Terms) Enabled() bool { return t.window > 0 }

// Window returns the length of a window.
func (t Terms) Window() time.Duration { return t.window }

// Late returns the time after the end of a window at which its report is late.
func (t Terms) Late() time.Duration { return t.late }

// Lease returns the time for which a holder of the lease may act without renewing it.
func (t Terms) Lease() time.Duration { return t.lease }

// Number returns the number of the window that contains a time.
func (t Terms) Number(at time.Time) int64 {
	nanoseconds := at.UnixNano()
	number := nanoseconds / int64(t.window)
	if nanoseconds%int64(t.window) < 0 {
		number--
	}
	return number
}

// End returns the end of a window.
func (t Terms) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(t.window)) }

// Report holds the counts of a window as the platform gets them.
type Report struct {
	window int64
	counts map[string]uint64
}

// NewReport returns the report of a window. The map must not be modified afterwards.
func NewReport(window int64, counts map[string]uint64) Report {
	return Report{window: window, counts: counts}
}

// Window returns the number of the window.
func (r Report) Window() int64 { return r.window }

// Counts returns the number of requests by organisation. The map must not be modified.
func (r Report) Counts() map[string]uint64 { return r.counts }

// Counts holds the requests that servers began for one VM in one window, or those that
// changed since an earlier message.
type Counts struct {
	vm     string
	run    string
	window int64
	closed bool
	counts map[string]uint64
}

// NewCounts returns counts of a VM in one run of its process. Closed means that the window is
// over and hardly any more requests are expected. The map must not be modified afterwards.
func NewCounts(vm, run string, window int64, closed bool, counts map[string]uint64) Counts {
	return Counts{vm: vm, run: run, window: window, closed: closed, counts: counts}
}

// VM returns the name of the VM that counted.
func (c Counts) VM() string { return c.vm }

// Run returns the identifier of the run of the VM's process.
func (c Counts) Run() string { return c.run }

// Window returns the number of the window.
func (c Counts) Window() int64 { return c.window }

// Closed reports whether the VM's counts of the window are complete.
func (c Counts) Closed() bool { return c.closed }

// Counts returns the number of requests by organisation. The map must not be modified.
func (c Counts) Counts() map[string]uint64 { return c.counts }

// Usage is what a VM tells another one of usage: the run of its process, and the counts that
// the other one doesn't have yet.
type Usage struct {
	run    string
	counts []Counts
	own    time.Time
	fleet  time.Time
}

// NewUsage returns the usage that a run of a VM's process tells. The slice must not be
// modified afterwards.
func NewUsage(run string, counts []Counts) Usage { return Usage{run: run, counts: counts} }

// WithTimes returns the usage with the time of day at its sending, by the sender's own clock and
// as the fleet agrees on; the zero time stands for one that is not told.
func (u Usage) WithTimes(own, fleet time.Time) Usage {
	u.own, u.fleet = own, fleet
	return u
}

// OwnTime returns the time of day by the sender's own clock, or the zero time.
func (u Usage) OwnTime() time.Time { return u.own }

// FleetTime returns the time of day that the fleet agrees on, or the zero time.
func (u Usage) FleetTime() time.Time { return u.fleet }

// Run returns the identifier of the sender's run, or "" if it meters no usage.
func (u Usage) Run() string { return u.run }

// Counts returns the counts. The slice must not be modified.
func (u Usage) Counts() []Counts { return u.counts }
