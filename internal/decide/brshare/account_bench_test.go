package brshare_test

import (
	"testing"
	"time"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"
)

// BenchmarkTake measures one decision on an account with two grants.
func BenchmarkTake(b *testing.B) {
	limit := limitOf(b, "1000000", "1000000", "1", time.Second)
	account := brshare.NewAccount(limit, start)
	account.Grant("pool", brshare.Whole/2, start.Add(1000*time.Hour), start)
	account.Grant("floor-0", brshare.Whole/2, start.Add(1000*time.Hour), start)
	weight, now := limit.Weight("route"), start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		account.Take(weight, now)
	}
}
