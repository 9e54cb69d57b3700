package brring_test

import (
	"context"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/core/brring"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// Compares a ring with a model: a slice whose length is limited to the capacity.
func TestRingBehavesLikeBoundedSlice(t *testing.T) {
	t.Run("reject", func(t *testing.T) { rapid.Check(t, checkAgainstSlice[brring.Reject]) })
	t.Run("replace oldest", func(t *testing.T) { rapid.Check(t, checkAgainstSlice[brring.ReplaceOldest]) })
}

func checkAgainstSlice[P brring.Policy](t *rapid.T) {
	capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
	ring := brring.New[int, P](capacity)
	model := []int{}
	var policy P
	t.Repeat(map[string]func(*rapid.T){
		"send": func(t *rapid.T) {
			value := rapid.Int().Draw(t, "value")
			err := ring.Send(value)
			full := len(model) == capacity
			if full && !policy.DropsOldest() {
				require.True(t, brring.IsErrFull(err))
				return
			}
			require.NoError(t, err)
			if full {
				model = model[1:]
			}
			model = append(model, value)
		},
		"receive": func(t *rapid.T) {
			value, ok := ring.TryReceive()
			require.Equal(t, len(model) > 0, ok)
			if ok {
				require.Equal(t, model[0], value)
				model = model[1:]
			}
		},
		"": func(t *rapid.T) {
			require.Equal(t, len(model), ring.Len())
		},
	})
}

func TestReserveAcceptsReservedMessagesOnly(t *testing.T) {
	ring := brring.NewQueueWithReserve[int](1, 1)
	require.NoError(t, ring.Send(1))
	require.True(t, brring.IsErrFull(ring.Send(2)))
	require.NoError(t, ring.SendReserved(3))
	require.True(t, brring.IsErrFull(ring.SendReserved(4)))
	require.Equal(t, 2, ring.Len())
}

func TestClosedRingDeliversRemainingMessages(t *testing.T) {
	ring := brring.NewQueue[int](2)
	require.NoError(t, ring.Send(7))
	ring.Close()
	require.True(t, brring.IsErrClosed(ring.Send(8)))
	value, err := ring.Receive(t.Context())
	require.NoError(t, err)
	require.Equal(t, 7, value)
	_, err = ring.Receive(t.Context())
	require.True(t, brring.IsErrClosed(err))
}

func TestReceiveReturnsWhenContextIsDone(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := brring.NewQueue[int](1).Receive(ctx)
	require.ErrorIs(t, err, context.Canceled)
}

// The answer to a cancelled request arrives late, while the next request waits.
// The next request must not receive it.
func TestLateAnswerIsNotDeliveredToNextRequest(t *testing.T) {
	ring := brring.NewQueue[brring.Reply[int]](4)
	pool := brring.NewReplyPool[int]()
	identity := func(reply brring.Reply[int]) brring.Reply[int] { return reply }
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := brring.Ask(cancelled, ring, pool, identity)
	require.ErrorIs(t, err, context.Canceled)
	late, ok := ring.TryReceive()
	require.True(t, ok)
	require.True(t, late.IsAbandoned())
	require.False(t, late.Answer(1))
	go func() {
		reply, _ := ring.Receive(t.Context())
		reply.Answer(2)
	}()
	answer, err := brring.Ask(t.Context(), ring, pool, identity)
	require.NoError(t, err)
	require.Equal(t, 2, answer)
}

// An answer and the end of the sender's context coincide. Either the sender receives the
// answer, or the duty learns that it does not; otherwise nobody would release what the
// answer gives away.
func TestAnswerIsReceivedOrRefused(t *testing.T) {
	pool := brring.NewReplyPool[int]()
	for range 2000 {
		ring := brring.NewQueue[brring.Reply[int]](1)
		ctx, cancel := context.WithCancel(t.Context())
		delivered := make(chan bool, 1)
		go func() {
			reply, _ := ring.Receive(t.Context())
			go cancel()
			delivered <- reply.Answer(1)
		}()
		answer, err := brring.Ask(ctx, ring, pool, func(reply brring.Reply[int]) brring.Reply[int] { return reply })
		require.Equal(t, <-delivered, err == nil)
		require.Equal(t, err == nil, answer == 1)
	}
}

func BenchmarkHandOver(b *testing.B) {
	b.Run("ring", func(b *testing.B) {
		ring := brring.NewQueue[int](1024)
		b.ReportAllocs()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range b.N {
				_, _ = ring.Receive(context.Background())
			}
		}()
		for i := range b.N {
			for ring.Send(i) != nil {
				runtime.Gosched()
			}
		}
		<-done
	})
	b.Run("channel", func(b *testing.B) {
		channel := make(chan int, 1024)
		b.ReportAllocs()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range b.N {
				<-channel
			}
		}()
		for i := range b.N {
			channel <- i
		}
		<-done
	})
	b.Run("ask", func(b *testing.B) {
		ring := brring.NewQueue[brring.Reply[int]](1024)
		pool := brring.NewReplyPool[int]()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for {
				reply, err := ring.Receive(ctx)
				if err != nil {
					return
				}
				reply.Answer(1)
			}
		}()
		b.ReportAllocs()
		for b.Loop() {
			_, _ = brring.Ask(ctx, ring, pool, func(reply brring.Reply[int]) brring.Reply[int] { return reply })
		}
	})
}
