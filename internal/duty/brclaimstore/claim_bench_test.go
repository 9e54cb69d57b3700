package brclaimstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

// countingTable is a table that counts its transactions.
type countingTable struct {
	*brplatform.Table
	commits int
}

func (c *countingTable) Commit(ctx context.Context, transaction brtable.Transaction) error {
	c.commits++
	return c.Table.Commit(ctx, transaction)
}

// BenchmarkClaim measures the transactions needed for a batch of claims of new keys.
func BenchmarkClaim(b *testing.B) {
	for _, claims := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			ctx := context.Background()
			clock := brclock.NewFake(start)
			table := &countingTable{Table: brplatform.NewTable(brplatform.NewFaults())}
			vm := &handler{table: table, clock: clock}
			number := 0
			for b.Loop() {
				replies := brring.NewQueue[ClaimResult](claims)
				for range claims {
					number++
					id := brclaim.ID(fmt.Sprint(number))
					claim := brclaim.NewClaim(id, fmt.Sprint(number), "same", "vm", clock.Now(), clock.Now().Add(time.Minute))
					vm.Handle(ctx, message{claim: claim, deadline: clock.Now().Add(3 * time.Second), reply: brring.NewReply(replies)})
				}
				for range claims {
					vm.Tick(ctx, clock.Now())
				}
				for range claims {
					result, ok := replies.TryReceive()
					require.True(b, ok)
					require.NoError(b, result.err)
				}
			}
			b.ReportMetric(float64(table.commits)/float64(b.N), "transactions")
		})
	}
}
