package bridempotency

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotroad.example/bergamotroad/internal/model/brclaim"
)

const (
	// Retention is how long a claim is kept after its deadline, the last time at
	// which its attempt may run.
	Retention = 24 * time.Hour
	// Shards is the number of shards of the claims. The shard of a claim is given
	// by the first three hexadecimal digits of its identifier.
	Shards = 4096
	// sweepersPerShard is the number of VMs that delete the expired claims of a shard.
	sweepersPerShard = 2
)

// ShardPrefix returns the prefix of the identifiers of a shard.
func ShardPrefix(shard int) string { return fmt.Sprintf("%03x", shard) }

// IsSweeper reports whether a VM is one of the sweepers of a shard, chosen by
// rendezvous hash.
func IsSweeper(vm string, shard int, vms []string) bool {
	ranked := slices.Clone(vms)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b, shard), score(a, shard)), cmp.Compare(a, b))
	})
	return slices.Contains(ranked[:min(len(ranked), sweepersPerShard)], vm)
}

func score(vm string, shard int) uint64 {
	return xxhash.Sum64String(ShardPrefix(shard) + "/" + vm)
}

// Expired reports whether the retention of a claim is over.
func Expired(record brclaim.Record, now time.Time) bool {
	return now.After(record.Claim().Deadline().Add(Retention))
}
