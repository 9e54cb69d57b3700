package brclaimstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

// BenchmarkClaimAndKeep measures batches of claims and of the responses stored for them.
func BenchmarkClaimAndKeep(b *testing.B) {
	for _, claims := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprint("claims=", claims), func(b *testing.B) { claimTogether(b, claims) })
	}
}

func claimTogether(b *testing.B, claims int) {
	ctx := context.Background()
	clock := brclock.NewFake(start)
	table := brplatform.NewTable(brplatform.NewFaults())
	h := &handler{table: table, clock: clock}
	response := brclaim.NewResponse(201, brmessage.NewFields(nil), make([]byte, 256))
	number := 0
	for b.Loop() {
		batch := make([]brclaim.Claim, claims)
		for i := range batch {
			number++
			id := brclaim.NewID("taller-norte", "entries", fmt.Sprint(number))
			batch[i] = brclaim.NewClaim(id, fmt.Sprint(number), "same", "vm-1", start, start.Add(time.Minute))
			replies := brring.NewQueue[ClaimResult](1)
			h.Handle(ctx, message{claim: batch[i], deadline: start.Add(time.Second), reply: brring.NewReply(replies)})
		}
		for len(h.attempts) > 0 {
			h.Tick(ctx, clock.Now())
		}
		for _, claim := range batch {
			h.Handle(ctx, message{record: brclaim.NewRecord(claim).WithResponse(response), isRecord: true})
		}
		for len(h.records) > 0 {
			h.Tick(ctx, clock.Now())
		}
	}
	b.ReportMetric(float64(table.Commits())/float64(number), "writes/claim")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(number), "ns/claim")
}
