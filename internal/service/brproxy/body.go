package brproxy

import (
	"bytes"
	"context"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/decide/brmemory"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

const (
	// maxBufferedBody is the largest request body that is buffered, so that the request
	// can be retried; a larger one is streamed.
	maxBufferedBody = 1 << 20 // bytes
	// minPart and maxPart bound the parts in which a body is read. A body of unknown size
	// reserves memory for one part after the other.
	minPart = 4 << 10
	maxPart = 64 << 10
)

// BodyMemory decides which bodies of requests may use the VM's memory.
type BodyMemory interface {
	// Begin decides whether a body is buffered, streamed or refused, and reserves its memory:
	// size bytes if it is buffered, brmemory.StreamBytes if it is streamed.
	Begin(ctx context.Context, holder brmemory.Holder, size int64) brmemory.Verdict
	// BeginStream decides whether a body that can't be buffered is streamed or refused.
	BeginStream(ctx context.Context, holder brmemory.Holder) brmemory.Verdict
	// Grow reserves more memory for a body of which held bytes are reserved, if it fits.
	Grow(ctx context.Context, holder brmemory.Holder, held, more int64) bool
	// End releases reserved memory.
	End(holder brmemory.Holder, bytes int64)
}

// deadlineSetter is implemented by bodies whose reads can be bounded in time.
type deadlineSetter interface {
	// SetDeadline sets the time after which reads fail with os.ErrDeadlineExceeded.
	SetDeadline(deadline time.Time)
}

// body is a request's body: its buffered parts and, if it is streamed, the rest of it.
type body struct {
	parts    [][]byte
	size     int64 // of the parts together
	streamed bool
	reserved int64 // bytes
}

// reader returns a reader of the buffered parts.
func (b *body) reader() io.Reader {
	if len(b.parts) == 1 {
		return bytes.NewReader(b.parts[0])
	}
	readers := make([]io.Reader, 0, len(b.parts))
	for _, part := range b.parts {
		readers = append(readers, bytes.NewReader(part))
	}
	return io.MultiReader(readers...)
}

// fill reads a new part of up to size bytes from a source. It reports whether the source has
// ended; a body that its sender has cut off is an error.
func (b *body) fill(source io.Reader, size int64) (ended bool, err error) {
	part, filled := make([]byte, size), 0
	for filled < len(part) && err == nil {
		n := 0
		n, err = source.Read(part[filled:])
		filled += n
	}
	if filled > 0 {
		b.parts, b.size = append(b.parts, part[:filled]), b.size+int64(filled)
	}
	if err == nil || errors.Is(err, io.EOF) {
		return err != nil, nil
	}
	return false, errors.Errorf("read request body: %w", err)
}

// readBody buffers a body that fits into the memory for bodies, so that the request can be
// retried, and leaves others to be streamed. It returns false and the result if the request
// is refused, or if its body does not arrive.
func (j *job) readBody(ctx context.Context) (Result, bool) {
	if j.call.Body() == nil || j.call.Size() == 0 {
		return Result{}, true
	}
	verdict := j.beginBody(ctx)
	if verdict == brmemory.Refuse {
		return refused(brrequest.ReasonBodiesTooLarge, j.overloadRetryAfter()), false
	}
	if verdict == brmemory.Stream {
		j.stream(j.call.Body())
		return Result{}, true
	}
	if limited, ok := j.call.Body().(deadlineSetter); ok {
		limited.SetDeadline(j.deadline)
		defer limited.SetDeadline(time.Time{})
	}
	ended, err := j.bufferBody(ctx)
	switch {
	case err != nil && (ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)):
		return refused(brrequest.ReasonDeadline, 0), false
	case err != nil:
		return refused(brrequest.ReasonCallerGone, 0), false
	case ended:
		return Result{}, true
	}
	return j.streamRest(ctx)
}

// beginBody reserves the memory of a body before it is read. Of a body of unknown size, it
// reserves the first part.
func (j *job) beginBody(ctx context.Context) brmemory.Verdict {
	size := j.call.Size()
	verdict := brmemory.Refuse
	switch {
	case size > maxBufferedBody:
		verdict = j.memory.BeginStream(ctx, j.holder())
	case size < 0:
		size = minPart
		fallthrough
	default:
		verdict = j.memory.Begin(ctx, j.holder(), size)
	}
	switch verdict {
	case brmemory.Buffer:
		j.body.reserved = size
	case brmemory.Stream:
		j.body.reserved = brmemory.StreamBytes
	}
	return verdict
}

// bufferBody reads parts until the body ends, exceeds maxBufferedBody or does not fit into
// the memory for bodies.
func (j *job) bufferBody(ctx context.Context) (ended bool, err error) {
	source, size := j.call.Body(), j.call.Size()
	for !ended && err == nil {
		if j.body.size == size {
			return true, nil
		}
		next := min(max(j.body.size, minPart), maxPart)
		if size >= 0 {
			next = min(next, size-j.body.size)
		}
		if more := j.body.size + next - j.body.reserved; more > 0 {
			if j.body.size >= maxBufferedBody || !j.memory.Grow(ctx, j.holder(), j.body.reserved, more) {
				return false, nil
			}
			j.body.reserved += more
		}
		ended, err = j.body.fill(source, next)
	}
	return ended, err
}

// streamRest makes the rest of a partly buffered body be streamed after its buffered parts.
func (j *job) streamRest(ctx context.Context) (Result, bool) {
	if j.memory.BeginStream(ctx, j.holder()) == brmemory.Refuse {
		return refused(brrequest.ReasonBodiesTooLarge, j.overloadRetryAfter()), false
	}
	j.body.reserved += brmemory.StreamBytes
	j.stream(io.MultiReader(j.body.reader(), j.call.Body()))
	return Result{}, true
}

// stream makes a body be streamed from a source.
func (j *job) stream(source io.Reader) {
	j.body.streamed = true
	tracked := callerBody{Reader: source, failure: &j.caller}
	j.call = brmessage.NewCall(j.call.Method(), j.call.Target(), j.call.Fields(), tracked, j.call.Size())
}

// releaseMemory releases the memory that a request's body and response have reserved.
func (j *job) releaseMemory() {
	if reserved := j.body.reserved + j.responseReserved; reserved > 0 {
		j.memory.End(j.holder(), reserved)
	}
}

// holder returns who holds the memory of the request's body.
func (j *job) holder() brmemory.Holder {
	return brmemory.NewHolder(j.request.Client(), j.organisation.Name())
}
