package brbackend

import (
	"net/http/httptrace"
	"sync/atomic"
)

// progress remembers how far a request came.
type progress struct {
	gotConnection atomic.Bool
}

func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { p.gotConnection.Store(true) },
	}
}

// connected reports whether bytes of the request may have been sent.
func (p *progress) connected() bool {
	return p.gotConnection.Load()
}
