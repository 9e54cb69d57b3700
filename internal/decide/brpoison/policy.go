package brpoison

// Policy trades the number of servers that a poison request crashes against the
// delay of harmless suspects.
type Policy interface {
	// CrashThreshold returns the number of crashed servers from which on a request is
	// refused.
	CrashThreshold() int
	// Serial reports whether this VM runs only one suspect at a time.
	Serial() bool
	// Aggregated reports whether notices between VMs are aggregated in transit.
	// Additional messages are then cheap, so VMs also announce which requests are
	// harmless, and repeat their notices.
	Aggregated() bool
}

// SerialPolicy minimizes the number of crashed servers: suspects run one at a time.
type SerialPolicy struct{}

// CrashThreshold returns 2: since suspects run one at a time, only one suspect can
// have caused the second crash.
func (SerialPolicy) CrashThreshold() int { return 2 }

// Serial returns true.
func (SerialPolicy) Serial() bool { return true }

// Aggregated returns false: a notice is sent to each VM as a separate message.
func (SerialPolicy) Aggregated() bool { return false }

// ConcurrentPolicy never delays a suspect. It suits callers that time out within seconds
// and fleets that aggregate notices between VMs in transit.
type ConcurrentPolicy struct{}

// CrashThreshold returns 3: a harmless request that was running on the same server as a
// poison request in two crashes is not refused.
func (ConcurrentPolicy) CrashThreshold() int { return 3 }

// Serial returns false: suspects run concurrently.
func (ConcurrentPolicy) Serial() bool { return false }

// Aggregated returns true: notices are part of the VMs' reports.
func (ConcurrentPolicy) Aggregated() bool { return true }
