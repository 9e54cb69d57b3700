package brshare_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotroad.example/bergamotroad/internal/decide/brshare"
)

// BenchmarkRenewals measures a tick over the accounts of idle organisations.
func BenchmarkRenewals(b *testing.B) {
	for _, organisations := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			limit := limitOf(b, "100", "100", "1", time.Second)
			accounts := map[string]*brshare.Account{}
			for i := range organisations {
				account := brshare.NewAccount(limit, start)
				account.Grant("floor", brshare.Whole/8, start.Add(time.Hour), start)
				accounts[fmt.Sprint(i)] = account
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, account := range accounts {
					account.Renewals(start)
				}
			}
		})
	}
}
