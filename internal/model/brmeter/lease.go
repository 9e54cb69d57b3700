package brmeter

// Lease is the content of the row that names the one VM that reports usage.
type Lease struct {
	holder   string
	run      string
	token    uint64
	released bool
	next     int64
	seen     int64
	pending  []Report
}

// NewLease returns the lease of a holder, which is one run of a VM's process, with its fencing
// token.
func NewLease(holder, run string, token uint64) Lease {
	return Lease{holder: holder, run: run, token: token}
}

// Holder returns the name of the VM that holds or last held the lease.
func (l Lease) Holder() string { return l.holder }

// Run returns the identifier of the run of the holder's process.
func (l Lease) Run() string { return l.run }

// Token returns the fencing token, which increases with each holder.
func (l Lease) Token() uint64 { return l.token }

// Released reports whether the holder has given the lease up.
func (l Lease) Released() bool { return l.released }

// Next returns the first window whose counts are not fixed yet.
func (l Lease) Next() int64 { return l.next }

// Seen returns the window in which the row was written: VMs may have counted in it, and in those
// before, what nobody knows any more.
func (l Lease) Seen() int64 { return l.seen }

// Pending returns the reports whose counts are fixed and which are not known to be accepted
// by the platform, in the order of their windows. The slice must not be modified.
func (l Lease) Pending() []Report { return l.pending }

// WithHolder returns the lease with another holder and its fencing token.
func (l Lease) WithHolder(holder, run string, token uint64) Lease {
	l.holder, l.run, l.token, l.released = holder, run, token, false
	return l
}

// WithReleased returns the lease given up by its holder.
func (l Lease) WithReleased() Lease {
	l.released = true
	return l
}

// WithNext returns the lease with the first window whose counts are not fixed yet.
func (l Lease) WithNext(window int64) Lease {
	l.next = window
	return l
}

// WithSeen returns the lease with the window in which the row is written.
func (l Lease) WithSeen(window int64) Lease {
	l.seen = window
	return l
}

// WithPending returns the lease with the pending reports. The slice must not be modified
// afterwards.
func (l Lease) WithPending(reports []Report) Lease {
	l.pending = reports
	return l
}

// Row is the lease as read from the store, with the version of its row.
type Row struct {
	lease   Lease
	version uint64
}

// NewRow returns a row. A version of 0 means that the row does not exist.
func NewRow(lease Lease, version uint64) Row { return Row{lease: lease, version: version} }

// Lease returns the row's content.
func (r Row) Lease() Lease { return r.lease }

// Version returns the row's version, or 0 if the row does not exist.
func (r Row) Version() uint64 { return r.version }
