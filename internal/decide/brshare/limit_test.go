package brshare_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

var start = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

func amount(t require.TestingT, text string) brunit.Amount {
	a, err := brunit.Parse(text)
	require.NoError(t, err)
	return a
}

func limitOf(t require.TestingT, rate, burst, weight string, period time.Duration) brshare.Limit {
	unit := brconfig.NewUnit(brconfig.NewMeta("unit"), amount(t, weight))
	contract := brconfig.NewContract(brconfig.NewMeta("contract"), "taller", "unit", amount(t, rate), period, amount(t, burst))
	limit, err := brshare.NewLimit(contract, unit)
	require.NoError(t, err)
	return limit
}

func TestLimitIsScaledExactly(t *testing.T) {
	limit := limitOf(t, "10/3", "2.5", "3/7", time.Minute)
	require.Equal(t, int64(42)*int64(brshare.Whole), limit.Scale().Factor())
	require.Equal(t, int64(140)*int64(brshare.Whole), limit.PerPeriod())
	require.Equal(t, int64(18)*int64(brshare.Whole), limit.Weight("any"))
	require.Equal(t, limit.Burst(), limit.BurstOf(brshare.Whole))
}

func TestUnscalableLimitErrorNamesField(t *testing.T) {
	unit := brconfig.NewUnit(brconfig.NewMeta("unit"), amount(t, "1"))
	for rate, field := range map[string]string{
		"0":                   "rate: ",
		"-1":                  "rate: ",
		"1/99999999999999999": "common scale",
		"9999999999999999999": "rate: ",
	} {
		contract := brconfig.NewContract(brconfig.NewMeta("c"), "taller", "unit", amount(t, rate), time.Minute, amount(t, "1"))
		_, err := brshare.NewLimit(contract, unit)
		require.ErrorContains(t, err, field)
	}
}

func TestInvalidAmountsAreRefused(t *testing.T) {
	for _, text := range []string{"1e999999999", "0x10", "1_0", "", "1/0", strings.Repeat("9", 100), "NaN", "Inf"} {
		_, err := brunit.Parse(text)
		require.Error(t, err, text)
	}
}
