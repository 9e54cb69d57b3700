package bridempotent

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/model/brclaim"
)

const (
	// Retention is how long a claim is kept after the last moment at which its
	// attempt may run.
	Retention = 24 * time.Hour
	// Shards is the number of parts into which claims are divided, by the
	// first digits of their identifiers.
	Shards = 4096
	// sweepers is the number of VMs that clean up a shard.
	sweepers = 2
)

// ShardPrefix returns the first digits of the identifiers of a shard.
func ShardPrefix(shard int) string { return fmt.Sprintf("%03x", shard) }

// Sweeps reports whether a VM is among the few that clean up a shard.
func Sweeps(vm string, shard int, vms []string) bool {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b, shard), score(a, shard)), cmp.Compare(a, b))
	})
	return slices.Contains(ranked[:min(len(ranked), sweepers)], vm)
}

func score(vm string, shard int) uint64 {
	return xxhash.Sum64String(ShardPrefix(shard) + "/" + vm)
}

// Expired reports whether a claim need not be kept any longer.
func Expired(record brclaim.Record, now time.Time) bool {
	return now.After(record.Claim().Deadline().Add(Retention))
}
