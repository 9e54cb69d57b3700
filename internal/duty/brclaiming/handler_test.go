package brclaiming

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
	"bergamotroad.example/bergamotroad/internal/decide/bridempotent"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// fate is the effect of a faulty table on the next transaction.
type fate string

const (
	taken     fate = "taken"
	refused   fate = "refused"
	answerCut fate = "committed, response lost"
	late      fate = "committed later, no response"
	vanished  fate = "never committed, no response"
)

// faultyTable is a table with fault injection for transactions.
type faultyTable struct {
	*brplatform.Table
	next fate
	held []brtable.Transaction
}

func (f *faultyTable) Commit(ctx context.Context, transaction brtable.Transaction) error {
	unknown := brtable.NewErrOutcomeUnknown(errors.New("no response"))
	next := f.next
	f.next = taken
	switch next {
	case refused:
		return brtable.NewErrUnavailable(errors.New("table unavailable"))
	case answerCut:
		_ = f.Table.Commit(ctx, transaction)
		return unknown
	case late:
		f.held = append(f.held, transaction)
		return unknown
	case vanished:
		return unknown
	default:
		return f.Table.Commit(ctx, transaction)
	}
}

func (f *faultyTable) land(ctx context.Context, which int) {
	transaction := f.held[which]
	f.held = append(f.held[:which:which], f.held[which+1:]...)
	_ = f.Table.Commit(ctx, transaction)
}

// pending is a claim that waits for its result.
type pending struct {
	claim   brclaim.Claim
	replies *brring.Queue[Ruling]
}

// Under any table faults and VM crashes, at most one attempt per key may be executed.
func TestAtMostOneAttemptOfAKeyRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		clock := brclock.NewFake(start)
		table := &faultyTable{Table: brplatform.NewTable(brplatform.NewFaults()), next: taken}
		vms := []*handler{{table: table, clock: clock}, {table: table, clock: clock}, {table: table, clock: clock}}
		waiting := map[*handler][]pending{}
		runs := map[brclaim.ID]string{}
		number := 0
		collect := func(t *rapid.T) {
			for _, list := range waiting {
				for _, p := range list {
					ruling, ok := p.replies.TryReceive()
					if !ok || ruling.err != nil || ruling.judgement != bridempotent.Run {
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
				replies := brring.NewQueue[Ruling](1)
				vm.Handle(ctx, message{claim: claim, until: clock.Now().Add(3 * time.Second), reply: brring.NewReply(replies)})
				waiting[vm] = append(waiting[vm], pending{claim, replies})
			},
			"tick": func(t *rapid.T) { drawVM(t).Tick(ctx, clock.Now()) },
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"fault": func(t *rapid.T) {
				table.next = rapid.SampledFrom([]fate{refused, answerCut, late, vanished}).Draw(t, "fate")
			},
			"land": func(t *rapid.T) {
				if len(table.held) == 0 {
					t.Skip("no transaction is delayed")
				}
				table.land(ctx, rapid.IntRange(0, len(table.held)-1).Draw(t, "which"))
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

func run(t *testing.T, scenario func(t *testing.T, claiming *Claiming, table *brplatform.Table, faults *brplatform.Faults)) {
	synctest.Test(t, func(t *testing.T) {
		clock := brclock.NewSystem()
		faults := brplatform.NewFaults()
		table := brplatform.NewTable(faults)
		claiming := New(table, clock)
		group := brduty.NewGroup(t.Context(), clock, brobserver.Ignore{})
		group.Start(claiming.Duty())
		defer group.Stop()
		scenario(t, claiming, table, faults)
	})
}

func claimOf(nonce string, fingerprint brclaim.Fingerprint) brclaim.Claim {
	now := time.Now()
	return brclaim.NewClaim("key", nonce, fingerprint, "vm-1", now, now.Add(30*time.Second))
}

func TestSecondAttemptGetsTheKeptAnswer(t *testing.T) {
	run(t, func(t *testing.T, claiming *Claiming, _ *brplatform.Table, _ *brplatform.Faults) {
		first := claimOf("1", "body")
		ruling, err := claiming.Claim(t.Context(), first, time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotent.Run, ruling.Judgement())

		ruling, err = claiming.Claim(t.Context(), claimOf("2", "body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotent.InProgress, ruling.Judgement())

		answer := brclaim.NewAnswer(201, brmessage.NewFields(nil), []byte("charged"))
		require.NoError(t, claiming.Keep(brclaim.NewRecord(first).WithAnswer(answer)))
		time.Sleep(time.Second)
		ruling, err = claiming.Claim(t.Context(), claimOf("3", "body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotent.Replay, ruling.Judgement())
		kept, _ := ruling.Record().Answer().Get()
		require.Equal(t, 201, kept.Status())
		require.Equal(t, "charged", string(kept.Body()))

		ruling, err = claiming.Claim(t.Context(), claimOf("4", "another body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotent.Mismatch, ruling.Judgement())
	})
}

// A claim left by a VM that crashed during the execution reads as unknown and is never
// executed again.
func TestAbandonedClaimBecomesUnknown(t *testing.T) {
	run(t, func(t *testing.T, claiming *Claiming, _ *brplatform.Table, _ *brplatform.Faults) {
		_, err := claiming.Claim(t.Context(), claimOf("1", "body"), time.Second)
		require.NoError(t, err)
		time.Sleep(time.Minute)
		ruling, err := claiming.Claim(t.Context(), claimOf("2", "body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotent.Unknown, ruling.Judgement())
	})
}

func TestClaimWithoutTableDoesNotRun(t *testing.T) {
	run(t, func(t *testing.T, claiming *Claiming, table *brplatform.Table, faults *brplatform.Faults) {
		faults.SetDown(true)
		_, err := claiming.Claim(t.Context(), claimOf("1", "body"), time.Second)
		require.True(t, IsErrClaimUnavailable(err))
		require.Zero(t, table.Commits())
		faults.SetDown(false)
		ruling, err := claiming.Claim(t.Context(), claimOf("2", "body"), time.Second)
		require.NoError(t, err)
		require.Equal(t, bridempotent.Run, ruling.Judgement())
	})
}

// Concurrent claims are batched into few transactions.
func TestClaimsShareAWrite(t *testing.T) {
	run(t, func(t *testing.T, claiming *Claiming, table *brplatform.Table, faults *brplatform.Faults) {
		faults.SetDelay(10 * time.Millisecond)
		const claims = 256
		done := make(chan bridempotent.Judgement, claims)
		for i := range claims {
			go func() {
				claim := brclaim.NewClaim(brclaim.ID(fmt.Sprint(i)), fmt.Sprint(i), "body", "vm-1", time.Now(), time.Now().Add(time.Minute))
				ruling, err := claiming.Claim(t.Context(), claim, time.Minute)
				if err != nil {
					done <- bridempotent.Unknown
					return
				}
				done <- ruling.Judgement()
			}()
		}
		for range claims {
			require.Equal(t, bridempotent.Run, <-done)
		}
		require.LessOrEqual(t, table.Commits(), 2*claims/maxBatch)
	})
}
