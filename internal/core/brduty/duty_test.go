package brduty_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
)

type recorder struct {
	handled   []int
	snapshots []string
	ticks     atomic.Int32
	block     chan struct{}
}

func (r *recorder) Handle(_ context.Context, message int) {
	if message < 0 {
		panic("negative message")
	}
	if r.block != nil {
		<-r.block
	}
	r.handled = append(r.handled, message)
}

func (r *recorder) Update(_ context.Context, snapshot string) {
	r.snapshots = append(r.snapshots, snapshot)
}

func (r *recorder) Tick(context.Context, time.Time) { r.ticks.Add(1) }

// earlyScheduler needs its first tick before the period elapses.
type earlyScheduler struct {
	recorder
	due time.Time
}

func (s *earlyScheduler) Due(now time.Time) (time.Duration, bool) {
	return s.due.Sub(now), s.ticks.Load() == 0
}

type observer struct {
	stalled  atomic.Int32
	panicked atomic.Int32
}

func (o *observer) DutyStalled(string, int) { o.stalled.Add(1) }

func (o *observer) DutyPanicked(string, any, []byte) { o.panicked.Add(1) }

func TestDutyHandlesMessagesSnapshotsAndTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		duty := brduty.New("test", r, brclock.NewSystem(), brduty.WithPeriod(time.Second))
		group := brduty.NewGroup(t.Context(), brclock.NewSystem(), &observer{})
		for i := range 600 {
			require.NoError(t, duty.Queue().Send(i))
		}
		require.NoError(t, duty.Snapshots().Send("old"))
		require.NoError(t, duty.Snapshots().Send("new"))
		group.Start(duty)
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		group.Stop()
		require.Len(t, r.handled, 600)
		require.Equal(t, []string{"new"}, r.snapshots)
		require.EqualValues(t, 2, r.ticks.Load())
		require.True(t, duty.Progress().Ended())
	})
}

func TestPanicIsReportedAndStopsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &observer{}
		duty := brduty.New[int, string]("test", &recorder{}, brclock.NewSystem())
		other := brduty.New[int, string]("other", &recorder{}, brclock.NewSystem())
		group := brduty.NewGroup(t.Context(), brclock.NewSystem(), o)
		group.Start(duty, other)
		require.NoError(t, duty.Queue().Send(-1))
		<-group.Context().Done()
		group.Stop()
		require.EqualValues(t, 1, o.panicked.Load())
		require.ErrorAs(t, context.Cause(group.Context()), &brduty.ErrPanicked{})
		require.True(t, other.Progress().Ended())
		require.Error(t, duty.Queue().Send(1), "the queue of a duty that panicked must reject messages")
	})
}

func TestWatchdogReportsStalledDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &observer{}
		r := &recorder{block: make(chan struct{})}
		duty := brduty.New("test", r, brclock.NewSystem(), brduty.WithPeriod(time.Hour))
		group := brduty.NewGroup(t.Context(), brclock.NewSystem(), o)
		group.Start(duty)
		require.NoError(t, duty.Queue().Send(1))
		require.NoError(t, duty.Queue().Send(2))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.Positive(t, o.stalled.Load())
		close(r.block)
		group.Stop()
	})
}

func TestSchedulerGetsTickBeforePeriodElapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &earlyScheduler{due: time.Now().Add(30 * time.Millisecond)}
		duty := brduty.New("test", s, brclock.NewSystem(), brduty.WithPeriod(time.Minute))
		group := brduty.NewGroup(t.Context(), brclock.NewSystem(), &observer{})
		group.Start(duty)
		require.NoError(t, duty.Queue().Send(1))
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 1, s.ticks.Load())
		time.Sleep(time.Minute)
		synctest.Wait()
		require.EqualValues(t, 2, s.ticks.Load(), "an early tick must not end the periodic ticks")
		group.Stop()
	})
}

// eagerScheduler always needs a tick 30 ms after the current time.
type eagerScheduler struct {
	recorder
}

func (*eagerScheduler) Due(time.Time) (time.Duration, bool) { return 30 * time.Millisecond, true }

// A duty that receives messages continuously must not postpone its tick
// indefinitely. Here, Due returns a later time after each message.
func TestBusySchedulerGetsTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &eagerScheduler{}
		duty := brduty.New("test", h, brclock.NewSystem(), brduty.WithPeriod(time.Minute))
		group := brduty.NewGroup(t.Context(), brclock.NewSystem(), &observer{})
		group.Start(duty)
		for i := range 100 {
			require.NoError(t, duty.Queue().Send(i))
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		require.GreaterOrEqual(t, h.ticks.Load(), int32(25))
		group.Stop()
	})
}
