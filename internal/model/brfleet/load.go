package brfleet

// Load is the load that a backend server reports with a response. It is immutable.
type Load struct {
	running int
	waiting int
}

// NewLoad returns the numbers of requests that run and that are queued at a server.
func NewLoad(running, waiting int) Load { return Load{running: running, waiting: waiting} }

// Running returns the number of requests that run.
func (l Load) Running() int { return l.running }

// Waiting returns the number of requests that are queued.
func (l Load) Waiting() int { return l.waiting }
