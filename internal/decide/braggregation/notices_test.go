package braggregation_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/braggregation"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

var fingerprint = brrequest.NewFingerprint("entries", "POST", "/poison", nil, 0)

func TestNoticeIsPublishedForItsLifetimeAndReceivedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	notice := brrequest.NewPoisonNotice(fingerprint, "server-1")
	publisher, receiver := braggregation.NewNotices(10*time.Second, 8), braggregation.NewNotices(10*time.Second, 8)
	publisher.Publish(start, notice)
	received := 0
	for second := range 30 {
		now := start.Add(time.Duration(second) * time.Second)
		published := publisher.Published(now)
		require.Equal(t, second <= 10, len(published) == 1, "second %d", second)
		require.Empty(t, publisher.Unseen(now, published), "a VM's own notices are not new to it")
		received += len(receiver.Unseen(now, published))
	}
	require.Equal(t, 1, received)
}

func TestCrashesAreReceivedBeforeLifts(t *testing.T) {
	receiver := braggregation.NewNotices(10*time.Second, 8)
	lift, crash := brrequest.NewPoisonLift(fingerprint), brrequest.NewPoisonNotice(fingerprint, "server-1")
	require.Equal(t, []brrequest.PoisonNotice{crash, lift}, receiver.Unseen(time.Unix(1000, 0), []brrequest.PoisonNotice{lift, crash}))
}

func TestNoticesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	publisher := braggregation.NewNotices(10*time.Second, 8)
	for i := range 100 {
		publisher.Publish(now, brrequest.NewPoisonNotice(fingerprint, fmt.Sprint("server-", i)))
	}
	require.Len(t, publisher.Published(now), 8)
}
