// Package brduplex lets an HTTP/1.1 front end respond to a request while its body is still
// being forwarded.
//
// By default, net/http's server reads up to 256 KiB of the rest of a request body before it
// writes the head of a response. Those bytes are lost to whoever forwards the body at the
// same time. A front end that has begun to read a body therefore writes its response in full
// duplex, and closes the connection after it, since the rest of the body must not be taken
// for the next request.
//
// # Usage
//
//	body := brduplex.NewBody(r)
//	// forward body
//	body.PrepareResponse(w)
//	w.WriteHeader(status)
//	body.Finish(w) // before the handler returns
package brduplex

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxUnusedBytes is the largest body of known length that is read before a response if
	// nobody has read it, so that the connection of a small rejected request is kept.
	maxUnusedBytes = 16 << 10
	// unusedTimeout bounds that read. It allows for a round trip between regions.
	unusedTimeout = 500 * time.Millisecond
	// pendingTimeout is how long a read in progress may wait for the caller when the response
	// is complete. The end of the response is written after it.
	pendingTimeout = 50 * time.Millisecond
	// restTimeout bounds the time for which the rest of a body is read after the response, so
	// that the caller can see that its connection is being closed.
	restTimeout = 500 * time.Millisecond
)

var errFinished = errors.New("the response to the request is complete")

// Body is the body of a request that may be forwarded while the response is written.
type Body struct {
	request  *http.Request
	source   io.Reader
	mutex    sync.Mutex // held while the body is read
	finished atomic.Bool
	begun    atomic.Bool
	ended    atomic.Bool
	prepared bool
	early    bool // the response began before the end of the body
}

// NewBody returns the body of a request that a server received.
func NewBody(r *http.Request) *Body {
	b := &Body{request: r, source: r.Body}
	b.ended.Store(r.Body == nil || r.Body == http.NoBody)
	return b
}

// Read reads a part of the body.
func (b *Body) Read(part []byte) (int, error) {
	b.begun.Store(true)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.finished.Load() {
		return 0, errFinished
	}
	n, err := b.source.Read(part)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// PrepareResponse prepares for a response. It must be called before the head of the response
// is written, on the goroutine that writes it. If the body has not been read to its end, the
// response is written without reading more of it, and the connection is closed afterwards.
func (b *Body) PrepareResponse(w http.ResponseWriter) {
	if b.prepared || b.request.ProtoMajor != 1 {
		return // HTTP/2 is always in full duplex
	}
	b.prepared = true
	if b.ended.Load() || b.readUnused(w) {
		return
	}
	b.early = true
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
}

// readUnused reads a small body that nobody has read, and reports whether it did so to the
// end.
func (b *Body) readUnused(w http.ResponseWriter) bool {
	size := b.request.ContentLength
	if b.begun.Load() || size < 0 || size > maxUnusedBytes || b.request.Header.Get("Expect") != "" {
		return false
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(unusedTimeout)); err != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, b, size)
	_ = control.SetReadDeadline(time.Time{})
	return err == nil && b.ended.Load()
}

// Finish ends the forwarding of a body to which a response was written early, and bounds the
// time for which the server still reads the rest of it. It must be called before the handler
// returns: net/http's server aborts a read in progress then, and would close the connection
// without waiting until the caller has read the response.
func (b *Body) Finish(w http.ResponseWriter) {
	if !b.early {
		return
	}
	control := http.NewResponseController(w)
	_ = control.Flush()
	// Comes before the deadline: a source may set one of its own when a read begins.
	b.finished.Store(true)
	_ = control.SetReadDeadline(time.Now().Add(pendingTimeout))
	b.waitForRead()
	_ = control.SetReadDeadline(time.Now().Add(restTimeout))
}

// waitForRead waits until no read is in progress.
func (b *Body) waitForRead() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
}
