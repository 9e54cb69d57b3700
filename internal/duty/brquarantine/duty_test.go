package brquarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/duty/brquarantine"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

type discardEvents struct{}

func (discardEvents) Record(brevent.Event) {}

// fakeBroadcaster collects the notices that a VM broadcasts.
type fakeBroadcaster struct {
	mutex   sync.Mutex
	notices []brrequest.PoisonNotice
}

func (f *fakeBroadcaster) Broadcast(notice brrequest.PoisonNotice) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.notices = append(f.notices, notice)
}

// take returns the notices since the last call.
func (f *fakeBroadcaster) take() []brrequest.PoisonNotice {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	notices := f.notices
	f.notices = nil
	return notices
}

func start(t *testing.T) (*brquarantine.Detector[brpoison.ConcurrentPolicy], *fakeBroadcaster) {
	t.Helper()
	broadcasts := &fakeBroadcaster{}
	detector := brquarantine.New[brpoison.ConcurrentPolicy](brclock.NewSystem(), discardEvents{}, broadcasts)
	group := brduty.NewGroup(t.Context(), brclock.NewSystem(), brobserver.Nop{})
	group.Start(detector.Duty())
	t.Cleanup(group.Stop)
	return detector, broadcasts
}

var fingerprint = brrequest.NewFingerprint("entries", "GET", "/deadly", nil, 0)

func TestCrashNoticesAreRepeatedWhileTheRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		detector, broadcasts := start(t)
		detector.ReportCrash(fingerprint, "server-1")
		detector.Receive(brrequest.NewPoisonNotice(fingerprint, "server-2"))
		synctest.Wait()
		require.Equal(t, []brrequest.PoisonNotice{brrequest.NewPoisonNotice(fingerprint, "server-1")}, broadcasts.take())
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Empty(t, broadcasts.take(), "notices are not repeated before the request is refused")
		_, refused := detector.Refused(fingerprint)
		require.False(t, refused)

		detector.Receive(brrequest.NewPoisonNotice(fingerprint, "server-3"))
		synctest.Wait()
		until, refused := detector.Refused(fingerprint)
		require.True(t, refused)
		time.Sleep(time.Minute)
		synctest.Wait()
		repeated := broadcasts.take()
		require.NotEmpty(t, repeated)
		for _, notice := range repeated {
			require.Equal(t, "server-1", notice.Server(), "only crashes observed by this VM are repeated")
		}
		time.Sleep(time.Until(until) + time.Minute)
		synctest.Wait()
		broadcasts.take()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Empty(t, broadcasts.take(), "nothing is repeated after the refusal has expired")
		_, refused = detector.Refused(fingerprint)
		require.False(t, refused)
	})
}

func TestVMThatCompletedTheRequestSendsAClearance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		detector, broadcasts := start(t)
		detector.ReportCompletion(fingerprint)
		detector.Receive(brrequest.NewPoisonNotice(fingerprint, "server-1"))
		synctest.Wait()
		require.Equal(t, []brrequest.PoisonNotice{brrequest.NewPoisonClearance(fingerprint, "server-1")}, broadcasts.take())
	})
}

func TestClearanceEndsTheRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		detector, _ := start(t)
		for i := range 3 {
			detector.Receive(brrequest.NewPoisonNotice(fingerprint, fmt.Sprint("server-", i)))
		}
		synctest.Wait()
		_, refused := detector.Refused(fingerprint)
		require.True(t, refused)
		detector.Receive(brrequest.NewPoisonClearance(fingerprint, "server-1"))
		synctest.Wait()
		_, refused = detector.Refused(fingerprint)
		require.False(t, refused)
	})
}

// The caller of a suspect leaves before the duty lets the suspect run. Its trial must not
// defer the other suspects, since it will not end.
func TestTrialOfCallerThatLeftEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		detector := brquarantine.New[brpoison.SerialPolicy](clock, discardEvents{}, &fakeBroadcaster{})
		other := brrequest.NewFingerprint("entries", "GET", "/harmless", nil, 0)
		detector.ReportCrash(fingerprint, "server-1")
		detector.ReportCrash(other, "server-1")
		ctx, cancel := context.WithCancel(t.Context())
		go detector.Begin(ctx, fingerprint)
		synctest.Wait()
		cancel()
		synctest.Wait()
		group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
		group.Start(detector.Duty())
		defer group.Stop()
		require.Equal(t, brpoison.Admitted, detector.Begin(t.Context(), other))
	})
}
