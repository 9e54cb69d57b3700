package brsweeper

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/codec/brclaimrow"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/bridempotency"
	"bergamotroad.example/bergamotroad/internal/model/brclaim"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var now = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// A single VM goes through all shards: expired claims are deleted, all others stay.
func TestOnlyOldClaimsAreDeleted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table := brplatform.NewTable(brplatform.NewFaults())
		kept := map[string]bool{}
		for i := range rapid.IntRange(0, 30).Draw(t, "claims") {
			deadline := now.Add(-time.Duration(rapid.IntRange(0, 48).Draw(t, "hours")) * time.Hour)
			id := brclaim.NewID("taller-norte", "entries", fmt.Sprint(i))
			record := brclaim.NewRecord(brclaim.NewClaim(id, "nonce", "same", "vm-1", deadline, deadline))
			data, err := brclaimrow.Encode(record)
			require.NoError(t, err)
			require.NoError(t, table.Commit(ctx, brtable.NewTransaction().Put(brclaimrow.Key(id), data)))
			kept[brclaimrow.Key(id)] = !now.After(deadline.Add(bridempotency.Retention))
		}
		h := &handler{vm: "vm-1", clock: brclock.NewFake(now), table: table, logger: log.New(io.Discard), vms: []string{"vm-1"}}
		for range bridempotency.Shards {
			h.Tick(ctx, now)
		}
		for key, want := range kept {
			_, err := table.Read(ctx, key)
			require.Equal(t, want, err == nil)
		}
	})
}

// Each shard is scanned by exactly two VMs, however many there are.
func TestFewVMsScanAShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []string{}
		for i := range rapid.IntRange(2, 60).Draw(t, "VMs") {
			vms = append(vms, fmt.Sprint("vm-", i))
		}
		shard := rapid.IntRange(0, bridempotency.Shards-1).Draw(t, "shard")
		scanning := 0
		for _, vm := range vms {
			if bridempotency.IsSweeper(vm, shard, vms) {
				scanning++
			}
		}
		require.Equal(t, 2, scanning)
	})
}
