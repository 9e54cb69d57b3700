package brwitness_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brwitness"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

func BenchmarkChoose(b *testing.B) {
	const domains = 47
	for _, vms := range []int{100, 1000, 6400} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			changes := []brconfig.Change{brconfig.Put(brconfig.NewRegion(brconfig.NewMeta("region")))}
			for i := range domains {
				name := fmt.Sprintf("domain-%d", i)
				changes = append(
					changes,
					brconfig.Put(brconfig.NewDomain(brconfig.NewMeta(name), "region")),
					brconfig.Put(brconfig.NewSite(brconfig.NewMeta(name), name)),
				)
			}
			for i := range vms {
				name := fmt.Sprintf("vm-%d", i)
				changes = append(changes, brconfig.Put(brconfig.NewVM(brconfig.NewMeta(name), fmt.Sprintf("domain-%d", i%domains), name, name)))
			}
			snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				brwitness.Choose(snapshot)
			}
		})
	}
}
