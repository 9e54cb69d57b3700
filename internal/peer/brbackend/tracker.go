package brbackend

import (
	"net/http/httptrace"
	"sync"
)

// writeTracker records the connections on which a request may have been written.
type writeTracker struct {
	id        string // of the request, may be empty
	mutex     sync.Mutex
	uses      []connectionUse
	untracked bool
}

// connectionUse is a connection that was assigned to the request, with the
// number of bytes written on it until then.
type connectionUse struct {
	connection    *connection
	number        int  // of the connection's use
	repeated      bool // an earlier request on the connection had the same identifier
	writtenBefore int64
}

func (t *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConnection, PutIdleConn: t.putIdleConnection}
}

func (t *writeTracker) gotConnection(info httptrace.GotConnInfo) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	conn, ok := info.Conn.(*connection)
	if !ok {
		t.untracked = true
		return
	}
	number, repeated := conn.acquire(t.id)
	t.uses = append(t.uses, connectionUse{connection: conn, number: number, repeated: repeated, writtenBefore: conn.written()})
}

// putIdleConnection is called when the response is complete and the transport keeps the
// connection for another request.
func (t *writeTracker) putIdleConnection(err error) {
	if use, ok := t.lastUse(); ok && err == nil {
		use.connection.setIdle(use.number)
	}
}

// lastUse returns the use of the connection on which the request was written last.
func (t *writeTracker) lastUse() (connectionUse, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.uses) == 0 {
		return connectionUse{}, false
	}
	return t.uses[len(t.uses)-1], true
}

// closeConnection closes the connection on which the request was written last.
func (t *writeTracker) closeConnection() {
	if use, ok := t.lastUse(); ok {
		_ = use.connection.Close()
	}
}

// blockUnsent blocks later writes on each connection on which no byte of the
// request has been written, and reports whether that is true of all of them.
func (t *writeTracker) blockUnsent() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	unsent := !t.untracked
	for _, u := range t.uses {
		unsent = u.connection.blockWrites(u.writtenBefore) && unsent
	}
	return unsent
}
