package brshutdown

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

type recorder struct {
	events []brevent.Event
}

func (r *recorder) Record(event brevent.Event) { r.events = append(r.events, event) }

func TestRunContinuesAfterFailedSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		mutex, ran := sync.Mutex{}, []string{}
		step := func(name string, run func(context.Context) error) Step {
			return NewStep(name, time.Second, func(ctx context.Context) error {
				mutex.Lock()
				ran = append(ran, name)
				mutex.Unlock()
				return run(ctx)
			})
		}
		hang := make(chan struct{})
		defer close(hang)
		events := &recorder{}
		sequence := NewSequence(log.New(io.Discard), events,
			step("fails", func(context.Context) error { return errors.New("refused") }),
			step("panics", func(context.Context) error { panic("nil map") }),
			step("hangs", func(context.Context) error { <-hang; return nil }),
			step("waits", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }),
			step("works", func(context.Context) error { return nil }),
		)
		err := sequence.Run(t.Context())
		mutex.Lock()
		defer mutex.Unlock()
		require.Equal(t, []string{"fails", "panics", "hangs", "waits", "works"}, ran)
		require.ErrorContains(t, err, "fails: refused")
		require.ErrorContains(t, err, "panics: panic: nil map")
		require.ErrorContains(t, err, "hangs: context deadline exceeded")
		require.ErrorContains(t, err, "waits: context deadline exceeded")
		require.Equal(t, 2*time.Second, time.Since(started))
		require.Len(t, events.events, 5)
	})
}
