package brdistribution_test

import (
	"fmt"
	"testing"

	"bergamotroad.example/bergamotroad/internal/decide/brdistribution"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

func BenchmarkNewPlan(b *testing.B) {
	const domains = 47
	for _, vms := range []int{100, 1000, 6400} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			members := make([]brmember.Member, 0, vms)
			for i := range vms {
				name := fmt.Sprintf("vm-%d", i)
				members = append(members, brmember.New(name, fmt.Sprintf("domain-%d", i%domains), name))
			}
			b.ReportAllocs()
			for b.Loop() {
				brdistribution.NewPlan("vm-1", "domain-1", members)
			}
		})
	}
}
