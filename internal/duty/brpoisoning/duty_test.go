package brpoisoning_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/duty/brpoisoning"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

type ignore struct{}

func (ignore) Record(brevent.Event) {}

// told collects the notices that a VM broadcasts.
type told struct {
	mutex   sync.Mutex
	notices []brrequest.PoisonNotice
}

func (l *told) Tell(notice brrequest.PoisonNotice) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.notices = append(l.notices, notice)
}

// take returns the notices since the last call.
func (l *told) take() []brrequest.PoisonNotice {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	notices := l.notices
	l.notices = nil
	return notices
}

func start(t *testing.T) (*brpoisoning.Poisoning[brpoison.Prompt], *told) {
	t.Helper()
	teller := &told{}
	poisoning := brpoisoning.New[brpoison.Prompt](brclock.NewSystem(), ignore{}, teller)
	group := brduty.NewGroup(t.Context(), brclock.NewSystem(), brobserver.Ignore{})
	group.Start(poisoning.Duty())
	t.Cleanup(group.Stop)
	return poisoning, teller
}

var fingerprint = brrequest.NewFingerprint("entries", "GET", "/deadly", nil, 0)

func TestDeathsAreToldAgainWhileTheRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		poisoning, teller := start(t)
		poisoning.Killed(fingerprint, "server-1")
		poisoning.Hear(brrequest.NewPoisonNotice(fingerprint, "server-2"))
		synctest.Wait()
		require.Equal(t, []brrequest.PoisonNotice{brrequest.NewPoisonNotice(fingerprint, "server-1")}, teller.take())
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Empty(t, teller.take(), "a request that isn't refused yet is not repeated")
		_, refused := poisoning.Refused(fingerprint)
		require.False(t, refused)

		poisoning.Hear(brrequest.NewPoisonNotice(fingerprint, "server-3"))
		synctest.Wait()
		until, refused := poisoning.Refused(fingerprint)
		require.True(t, refused)
		time.Sleep(time.Minute)
		synctest.Wait()
		again := teller.take()
		require.NotEmpty(t, again)
		for _, notice := range again {
			require.Equal(t, "server-1", notice.Server(), "only deaths observed by this VM are repeated")
		}
		time.Sleep(time.Until(until) + time.Minute)
		synctest.Wait()
		teller.take()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Empty(t, teller.take(), "nothing is repeated after the refusal has expired")
		_, refused = poisoning.Refused(fingerprint)
		require.False(t, refused)
	})
}

func TestVMThatSawTheRequestRunSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		poisoning, teller := start(t)
		poisoning.Ran(fingerprint)
		poisoning.Hear(brrequest.NewPoisonNotice(fingerprint, "server-1"))
		synctest.Wait()
		require.Equal(t, []brrequest.PoisonNotice{brrequest.NewPoisonAcquittal(fingerprint, "server-1")}, teller.take())
	})
}

func TestAcquittalEndsTheRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		poisoning, _ := start(t)
		for i := range 3 {
			poisoning.Hear(brrequest.NewPoisonNotice(fingerprint, fmt.Sprint("server-", i)))
		}
		synctest.Wait()
		_, refused := poisoning.Refused(fingerprint)
		require.True(t, refused)
		poisoning.Hear(brrequest.NewPoisonAcquittal(fingerprint, "server-1"))
		synctest.Wait()
		_, refused = poisoning.Refused(fingerprint)
		require.False(t, refused)
	})
}
