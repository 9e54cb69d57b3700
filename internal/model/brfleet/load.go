package brfleet

import "bergamotroad.example/bergamotroad/internal/core/broption"

// Load is the load that a backend server reports with a response. It is immutable.
type Load struct {
	running int
	waiting int
	pace    broption.Option[int]
}

// NewLoad returns the numbers of requests that run and that are queued at a server.
func NewLoad(running, waiting int) Load { return Load{running: running, waiting: waiting} }

// WithPace returns the load with the duration of work at the server at this moment, in
// percent of its usual duration.
func (l Load) WithPace(percent int) Load {
	l.pace = broption.Some(percent)
	return l
}

// Running returns the number of requests that run.
func (l Load) Running() int { return l.running }

// Waiting returns the number of requests that are queued.
func (l Load) Waiting() int { return l.waiting }

// Pace returns the duration of work at the server at this moment, in percent of its usual
// duration. Only servers that share their machine with others report it.
func (l Load) Pace() broption.Option[int] { return l.pace }
