package brbackend

import (
	"net/http/httptrace"
	"sync"
)

// progress records the connections on which a request may have been written.
type progress struct {
	mutex  sync.Mutex
	grants []grant
	opaque bool
}

// grant is a connection that was assigned to the request, with the number of
// bytes written on it until then.
type grant struct {
	connection *connection
	before     int64 // bytes
}

func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: p.gotConnection}
}

func (p *progress) gotConnection(info httptrace.GotConnInfo) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counted, ok := info.Conn.(*connection)
	if !ok {
		p.opaque = true
		return
	}
	p.grants = append(p.grants, grant{connection: counted, before: counted.written()})
}

// preventSending blocks later writes on each connection on which no byte of the
// request has been written, and reports whether that is true of all of them.
func (p *progress) preventSending() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	prevented := !p.opaque
	for _, g := range p.grants {
		prevented = g.connection.seal(g.before) && prevented
	}
	return prevented
}
