package brplacement_test

import (
	"fmt"
	"testing"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

// BenchmarkPick measures the choice of a server among 1,000.
func BenchmarkPick(b *testing.B) {
	const count = 1000
	unequal := servers(count)
	for i := range unequal {
		unequal[i] = unequal[i].WithSlots(2 * (1 + i%4))
	}
	for _, c := range []struct {
		name      string
		list      []brfleet.Server
		evacuated []string
	}{
		{"equal slots", servers(count), nil},
		{"unequal slots", unequal, nil},
		{"domain evacuated", unequal, []string{"a-1"}},
	} {
		b.Run(c.name, func(b *testing.B) {
			p := newPlacer("vm-1", "a", view(c.list, nil, nil, c.evacuated...))
			queries := []string{}
			for i := range 512 {
				queries = append(queries, fmt.Sprint("object-", i))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				choice, ok := p.Pick(start, newQuery("r", queries[i%len(queries)]))
				if !ok {
					b.Fatal("no server")
				}
				p.RecordOutcome(start, answered(choice.Server().ID()))
			}
		})
	}
}
