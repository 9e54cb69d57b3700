package brclaimstore

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/bridempotency"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// faultKind is the effect of a faulty table on the next transaction.
type faultKind string

const (
	committed    faultKind = "committed"
	unavailable  faultKind = "unavailable"
	responseLost faultKind = "committed, response lost"
	delayed      faultKind = "committed later, no response"
	lost         faultKind = "never committed, no response"
)

// faultyTable is a table with fault injection for transactions.
type faultyTable struct {
	*brplatform.Table
	next    faultKind
	delayed []brtable.Transaction
}

func (f *faultyTable) Commit(ctx context.Context, transaction brtable.Transaction) error {
	unknown := brtable.NewErrOutcomeUnknown(errors.New("no response"))
	next := f.next
	f.next = committed
	switch next {
	case unavailable:
		return brtable.NewErrUnavailable(errors.New("table unavailable"))
	case responseLost:
		_ = f.Table.Commit(ctx, transaction)
		return unknown
	case delayed:
		f.delayed = append(f.delayed, transaction)
		return unknown
	case lost:
		return unknown
	default:
		return f.Table.Commit(ctx, transaction)
	}
}

func (f *faultyTable) commitDelayed(ctx context.Context, which int) {
	transaction := f.delayed[which]
	f.delayed = append(f.delayed[:which:which], f.delayed[which+1:]...)
	_ = f.Table.Commit(ctx, transaction)
}

// pending is a claim that waits for its result.
type pending struct {
	claim   brclaim.Claim
	replies *brring.Queue[ClaimResult]
}

// Under any table faults and VM crashes, at most one attempt per key may be executed.
func TestAtMostOneAttemptOfAKeyRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		clock := brclock.NewFake(start)
		table := &faultyTable{Table: brplatform.NewTable(brplatform.NewFaults()), next: committed}
		vms := []*handler{{table: table, clock: clock}, {table: table, clock: clock}, {table: table, clock: clock}}
		waiting := map[*handler][]pending{}
		runs := map[brclaim.ID]string{}
		number := 0
		collect := func(t *rapid.T) {
			for _, list := range waiting {
				for _, p := range list {
					result, ok := p.replies.TryReceive()
					if !ok || result.err != nil || result.decision != bridempotency.Run {
						continue
					}
					other, ran := runs[p.claim.ID()]
					require.False(t, ran, "%s runs for %s and %s", p.claim.ID(), other, p.claim.Nonce())
					runs[p.claim.ID()] = p.claim.Nonce()
				}
			}
		}
		drawVM := func(t *rapid.T) *handler { return rapid.SampledFrom(vms).Draw(t, "vm") }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				number++
				vm := drawVM(t)
				id := brclaim.ID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
				claim := brclaim.NewClaim(id, fmt.Sprint(number), "same", "vm", clock.Now(), clock.Now().Add(time.Minute))
				replies := brring.NewQueue[ClaimResult](1)
				vm.Handle(ctx, message{claim: claim, deadline: clock.Now().Add(3 * time.Second), reply: brring.NewReply(replies)})
				waiting[vm] = append(waiting[vm], pending{claim, replies})
			},
			"tick": func(t *rapid.T) { drawVM(t).Tick(ctx, clock.Now()) },
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"fault": func(t *rapid.T) {
				table.next = rapid.SampledFrom([]faultKind{unavailable, responseLost, delayed, lost}).Draw(t, "fault")
			},
			"late commit": func(t *rapid.T) {
				if len(table.delayed) == 0 {
					t.Skip("no transaction is delayed")
				}
				table.commitDelayed(ctx, rapid.IntRange(0, len(table.delayed)-1).Draw(t, "which"))
			},
			"crash": func(t *rapid.T) {
				vm := drawVM(t)
				delete(waiting, vm)
				*vm = handler{table: table, clock: clock}
			},
			"": collect,
		})
	})
}

func runScenario(t *testing.T, scenario func(t *testing.T, store *Store, table *brplatform.Table, faults *brplatform.Faults)) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		faults := brplatform.NewFaults()
		table := brplatform.NewTable(faults)
		store := New(table, clock)
		group := brduty.NewGroup(t.Context(), clock, brobserver.Nop{})
		group.Start(store.Duty())
		defer group.Stop()
		scenario(t, store, table, faults)
	})
}

func newClaim(nonce string, fingerprint brclaim.Fingerprint) brclaim.Claim {
	now := time.Now()
	return brclaim.NewClaim("key", nonce, fingerprint, "vm-1", now, now.Add(30*time.Second))
}

func TestRepeatedRequestGetsStoredResponse(t *testing.T) {
	runScenario(t, func(t *testing.T, store *Store, _ *brplatform.Table, _ *brplatform.Faults) {
		first := newClaim("1", "body")
		result, err := store.Claim(t.Context(), first, time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotency.Run, result.Decision())

		result, err = store.Claim(t.Context(), newClaim("2", "body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotency.InProgress, result.Decision())

		response := brclaim.NewResponse(201, brmessage.NewFields(nil), []byte("charged"))
		require.NoError(t, store.QueueRecord(brclaim.NewRecord(first).WithResponse(response)))
		time.Sleep(time.Second)
		result, err = store.Claim(t.Context(), newClaim("3", "body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotency.Replay, result.Decision())
		stored, _ := result.Record().Response().Get()
		require.Equal(t, 201, stored.Status())
		require.Equal(t, "charged", string(stored.Body()))

		result, err = store.Claim(t.Context(), newClaim("4", "another body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotency.Mismatch, result.Decision())
	})
}

// A claim left by a VM that crashed during the execution reads as unknown and is never
// executed again.
func TestAbandonedClaimBecomesUnknown(t *testing.T) {
	runScenario(t, func(t *testing.T, store *Store, _ *brplatform.Table, _ *brplatform.Faults) {
		_, err := store.Claim(t.Context(), newClaim("1", "body"), time.Second)
		require.NoError(t, err)
		time.Sleep(time.Minute)
		result, err := store.Claim(t.Context(), newClaim("2", "body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotency.Unknown, result.Decision())
	})
}

func TestClaimFailsIfTableIsUnavailable(t *testing.T) {
	runScenario(t, func(t *testing.T, store *Store, table *brplatform.Table, faults *brplatform.Faults) {
		faults.SetDown(true)
		_, err := store.Claim(t.Context(), newClaim("1", "body"), time.Second)
		require.True(t, IsErrClaimUnavailable(err))
		require.Zero(t, table.Commits())
		faults.SetDown(false)
		result, err := store.Claim(t.Context(), newClaim("2", "body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotency.Run, result.Decision())
	})
}

// Concurrent claims are batched into few transactions.
func TestConcurrentClaimsAreBatched(t *testing.T) {
	runScenario(t, func(t *testing.T, store *Store, table *brplatform.Table, faults *brplatform.Faults) {
		faults.SetDelay(10 * time.Millisecond)
		const claims = 256
		done := make(chan bridempotency.Decision, claims)
		for i := range claims {
			go func() {
				claim := brclaim.NewClaim(brclaim.ID(fmt.Sprint(i)), fmt.Sprint(i), "body", "vm-1", time.Now(), time.Now().Add(time.Minute))
				result, err := store.Claim(t.Context(), claim, time.Minute)
				if err != nil {
					done <- bridempotency.Unknown
					return
				}
				done <- result.Decision()
			}()
		}
		for range claims {
			require.Equal(t, bridempotency.Run, <-done)
		}
		require.LessOrEqual(t, table.Commits(), 2*claims/maxBatch)
	})
}
