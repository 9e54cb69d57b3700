package brplatform

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Faults selects the faults that an in-memory service injects into its calls. One
// Faults can be shared by several services.
type Faults struct {
	mutex           sync.Mutex
	down            bool
	delay           time.Duration
	responsesToLose int
}

// NewFaults returns Faults with every fault switched off.
func NewFaults() *Faults {
	return &Faults{}
}

// SetDown sets whether every call fails without effect.
func (f *Faults) SetDown(down bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.down = down
}

// SetDelay makes every call wait before it is served.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = delay
}

// LoseResponses makes the next count writes take effect but fail, as if the response
// were lost.
func (f *Faults) LoseResponses(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.responsesToLose = count
}

// beforeCall delays a call, or fails it during an outage.
func (f *Faults) beforeCall(ctx context.Context) error {
	f.mutex.Lock()
	down, delay := f.down, f.delay
	f.mutex.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if down {
		return errors.New("injected fault: service is down")
	}
	return nil
}

// afterWrite fails a write that has taken effect if its response is to be lost.
func (f *Faults) afterWrite(_ context.Context) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.responsesToLose == 0 {
		return nil
	}
	f.responsesToLose--
	return errors.New("injected fault: response lost")
}
