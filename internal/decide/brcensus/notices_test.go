package brcensus_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brcensus"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

var noticed = brrequest.NewFingerprint("entries", "POST", "/deadly", nil, 0)

func TestNoticeIsToldForItsLifetimeAndHeardOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	notice := brrequest.NewPoisonNotice(noticed, "server-1")
	teller, hearer := brcensus.NewNotices(10*time.Second, 8), brcensus.NewNotices(10*time.Second, 8)
	teller.Tell(start, notice)
	heard := 0
	for second := range 30 {
		now := start.Add(time.Duration(second) * time.Second)
		told := teller.Told(now)
		require.Equal(t, second <= 10, len(told) == 1, "second %d", second)
		require.Empty(t, teller.News(now, told), "a VM's own notices are not new to it")
		heard += len(hearer.News(now, told))
	}
	require.Equal(t, 1, heard)
}

func TestDeathsAreHeardBeforeWhatLiftsThem(t *testing.T) {
	hearer := brcensus.NewNotices(10*time.Second, 8)
	lift, death := brrequest.NewPoisonLift(noticed), brrequest.NewPoisonNotice(noticed, "server-1")
	require.Equal(t, []brrequest.PoisonNotice{death, lift}, hearer.News(time.Unix(1000, 0), []brrequest.PoisonNotice{lift, death}))
}

func TestNoticesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	teller := brcensus.NewNotices(10*time.Second, 8)
	for i := range 100 {
		teller.Tell(now, brrequest.NewPoisonNotice(noticed, fmt.Sprint("server-", i)))
	}
	require.Len(t, teller.Told(now), 8)
}
