package brplatform

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Faults are the faults of a stand-in, switched by tests.
type Faults struct {
	mutex       sync.Mutex
	down        bool
	delay       time.Duration
	loseAnswers int
}

// NewFaults returns no faults.
func NewFaults() *Faults {
	return &Faults{}
}

// SetDown makes every call fail without effect, or not.
func (f *Faults) SetDown(down bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.down = down
}

// SetDelay makes every call wait.
func (f *Faults) SetDelay(delay time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.delay = delay
}

// LoseAnswers makes the next writes take effect without an answer.
func (f *Faults) LoseAnswers(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loseAnswers = count
}

func (f *Faults) before(ctx context.Context) error {
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
		return errors.New("stand-in is down")
	}
	return nil
}

func (f *Faults) after(_ context.Context) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.loseAnswers == 0 {
		return nil
	}
	f.loseAnswers--
	return errors.New("stand-in lost the answer")
}
