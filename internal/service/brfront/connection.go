package brfront

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// unreadTime is how long nobody may read from a connection on which a request is being
	// handled before the connection reads ahead.
	unreadTime = 100 * time.Millisecond
	// aheadChunk is the number of bytes that are read ahead at a time.
	aheadChunk = 2 << 10
	// maxAhead is the maximum number of bytes that a connection reads ahead, and maxAheadTotal
	// that of all connections of a front.
	maxAhead      = 16 << 10
	maxAheadTotal = 4 << 20
)

// aheadBudget bounds the bytes that the connections of a front read ahead.
type aheadBudget struct{ used atomic.Int64 }

// acquire takes a chunk of the budget and reports whether there was one left.
func (b *aheadBudget) acquire() bool {
	for {
		used := b.used.Load()
		if used+aheadChunk > maxAheadTotal {
			return false
		}
		if b.used.CompareAndSwap(used, used+aheadChunk) {
			return true
		}
	}
}

func (b *aheadBudget) release(chunks int) { b.used.Add(-int64(chunks) * aheadChunk) }

// connection is a client's connection. net/http's server doesn't read from it while it handles a
// request behind which the client has sent more, and so doesn't see that the client leaves. The
// connection therefore reads ahead in that time, and cancels its context when it ends.
//
// What is read ahead is read by the server afterwards, in order, unless the connection has ended:
// then nothing of it is read. Once a bound of the bytes read ahead is reached, the end is seen only
// when the server reads again.
type connection struct {
	net.Conn
	release func()
	budget  *aheadBudget

	mutex    sync.Mutex
	changed  sync.Cond // of the fields below
	cancel   context.CancelFunc
	handling bool        // a request is being handled
	reading  int         // calls of Read that wait for the client
	timer    *time.Timer // fires unreadTime after the last read while a request is being handled
	ahead    []byte      // read ahead and not yet read by the server
	chunks   int         // of the budget
	active   bool        // readAhead is running
	left     bool        // the client left while an earlier request was being handled
	err      error       // why the connection has ended
}

func newConnection(accepted net.Conn, budget *aheadBudget, release func()) *connection {
	c := &connection{Conn: accepted, budget: budget, release: sync.OnceFunc(release), cancel: func() {}}
	c.changed.L = &c.mutex
	return c
}

// Close closes the connection and releases it from the limits.
func (c *connection) Close() error {
	defer c.release()
	err := c.Conn.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.end(net.ErrClosed)
	return err
}

// Read reads what the client has sent next.
func (c *connection) Read(part []byte) (int, error) {
	c.mutex.Lock()
	c.reading++
	for c.active && c.err == nil && len(c.ahead) == 0 {
		c.changed.Wait()
	}
	if c.err != nil || len(c.ahead) > 0 {
		defer c.mutex.Unlock()
		defer c.endRead()
		return c.take(part)
	}
	c.mutex.Unlock()
	n, err := c.Conn.Read(part)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.endRead()
	return n, err
}

// endRead ends a call of Read. The mutex must be held.
func (c *connection) endRead() {
	c.reading--
	c.awaitUnread()
}

// take returns what was read ahead. The mutex must be held.
func (c *connection) take(part []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n := copy(part, c.ahead)
	c.ahead = c.ahead[n:]
	if len(c.ahead) == 0 && !c.active {
		c.free()
	}
	return n, nil
}

// free drops what was read ahead. The mutex must be held.
func (c *connection) free() {
	c.ahead = nil
	c.budget.release(c.chunks)
	c.chunks = 0
}

// begin begins the handling of a request, unless its client has left before.
func (c *connection) begin() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.left || c.err != nil {
		return false
	}
	c.handling = true
	c.awaitUnread()
	return true
}

// finish ends the handling of a request. left tells that the client has left meanwhile.
func (c *connection) finish(left bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.handling = false
	c.left = left
	c.stopTimer()
}

// stopTimer stops the timer. The mutex must be held.
func (c *connection) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

// awaitUnread starts the timer if nobody reads while a request is being handled. The mutex must
// be held.
func (c *connection) awaitUnread() {
	switch {
	case !c.handling || c.reading > 0 || c.active || c.err != nil:
	case c.timer == nil:
		c.timer = time.AfterFunc(unreadTime, c.startAhead)
	default:
		c.timer.Reset(unreadTime)
	}
}

// startAhead starts to read ahead if still nobody reads.
func (c *connection) startAhead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.handling || c.reading > 0 || c.active || c.err != nil || len(c.ahead) > maxAhead-aheadChunk {
		return
	}
	if !c.reserve() {
		c.awaitUnread()
		return
	}
	c.active = true
	go c.readAhead()
}

// reserve reserves the memory for the next chunk and reports whether there is enough. The mutex
// must be held.
func (c *connection) reserve() bool {
	for c.chunks*aheadChunk < len(c.ahead)+aheadChunk {
		if !c.budget.acquire() {
			return false
		}
		c.chunks++
	}
	return true
}

// readAhead reads from the client until the connection ends, a bound is reached, or the request
// has been handled.
func (c *connection) readAhead() {
	for {
		chunk := make([]byte, aheadChunk)
		n, err := c.Conn.Read(chunk)
		if !c.keep(chunk[:n], err) {
			return
		}
	}
}

// keep keeps what was read ahead and reports whether to read on.
func (c *connection) keep(chunk []byte, err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	defer c.changed.Broadcast()
	c.ahead = append(c.ahead, chunk...)
	isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil && !isTimeout {
		c.active = false
		c.end(err)
		return false
	}
	if !isTimeout && c.handling && len(c.ahead) <= maxAhead-aheadChunk && c.reserve() {
		return true
	}
	c.active = false
	if len(c.ahead) == 0 {
		c.free()
	}
	c.awaitUnread()
	return false
}

// end records that the connection has ended. The mutex must be held.
func (c *connection) end(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	c.stopTimer()
	c.free()
	c.cancel()
	c.changed.Broadcast()
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// withConnection returns the context for the requests of an accepted connection. It is cancelled
// when the connection ends.
func withConnection(ctx context.Context, accepted net.Conn) context.Context {
	if wrapped, ok := accepted.(interface{ NetConn() net.Conn }); ok {
		accepted = wrapped.NetConn() // below TLS
	}
	c, ok := accepted.(*connection)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancel = cancel
	return context.WithValue(ctx, connectionKey{}, c)
}

// watchClient lets the context of a request end when its client leaves, until the returned
// function is called. It aborts a request that was sent behind another one by a client that has
// left since: it must not run.
func watchClient(r *http.Request) (finish func()) {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok || r.ProtoMajor != 1 {
		return func() {}
	}
	if !c.begin() {
		panic(http.ErrAbortHandler)
	}
	return func() { c.finish(r.Context().Err() != nil) }
}
