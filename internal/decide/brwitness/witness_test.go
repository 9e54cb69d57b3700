package brwitness_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brwitness"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// writer is one attempt to write a new head.
type writer struct {
	operation   string
	witness     int
	announcedAt time.Time
	base        int // head that the write is based on
	sent        bool
	effective   bool
}

// fleet is a table with its witnesses and writers. The reader is outside of it and
// never reads the table.
type fleet struct {
	now       time.Time
	head      int
	accepted  map[int]time.Time // when each head was accepted
	witnesses []*brwitness.Witness
	heads     []int // head that each witness has
	writers   []*writer
}

// Whatever writers and witnesses do (announce, crash, lose messages or restart), a
// head that all witnesses confirm to a reader was the newest when the reader asked.
func TestConfirmedHeadWasTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: start.Add(brwitness.SettleTime), accepted: map[int]time.Time{}}
		for range brwitness.Count {
			witness := brwitness.NewWitness(start)
			witness.RecordTableRead(f.now)
			f.witnesses = append(f.witnesses, witness)
			f.heads = append(f.heads, 0)
		}
		reader := 0
		drawWitness := func(t *rapid.T) int { return rapid.IntRange(0, brwitness.Count-1).Draw(t, "witness") }
		drawWriter := func(t *rapid.T) *writer {
			if len(f.writers) == 0 {
				t.Skip("no writers")
			}
			return rapid.SampledFrom(f.writers).Draw(t, "writer")
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"announce": func(t *rapid.T) {
				w := &writer{operation: fmt.Sprint(len(f.writers)), witness: drawWitness(t), announcedAt: f.now, base: f.head}
				require.True(t, f.witnesses[w.witness].Begin(w.operation, f.now))
				f.writers = append(f.writers, w)
			},
			"commit": func(t *rapid.T) {
				w := drawWriter(t)
				if f.now.Sub(w.announcedAt) <= brwitness.CommitTimeout {
					w.sent = true
				}
			},
			"head advances": func(t *rapid.T) {
				w := drawWriter(t)
				if !w.sent || w.effective || w.base != f.head || f.now.Sub(w.announcedAt) >= brwitness.SettleTime {
					t.Skip("no write takes effect")
				}
				w.effective = true
				f.head++
				f.accepted[f.head] = f.now
			},
			"end": func(t *rapid.T) {
				w := drawWriter(t)
				if !w.effective {
					t.Skip("outcome is not known")
				}
				// The message of the end carries the new head, which the witness adopts.
				f.heads[w.witness] = max(f.heads[w.witness], w.base+1)
				f.witnesses[w.witness].End(w.operation)
			},
			"witness reads the table": func(t *rapid.T) {
				i := drawWitness(t)
				f.heads[i] = f.head
				f.witnesses[i].RecordTableRead(f.now)
			},
			"witness restarts": func(t *rapid.T) {
				i := drawWitness(t)
				f.witnesses[i] = brwitness.NewWitness(f.now)
				f.heads[i] = rapid.IntRange(0, f.head).Draw(t, "head")
			},
			"reader catches up": func(t *rapid.T) {
				reader = rapid.IntRange(reader, f.head).Draw(t, "head")
			},
			"reader asks": func(t *rapid.T) {
				attestations := brwitness.NewAttestations([]string{"0", "1", "2"}, f.now)
				askedAt := f.now
				for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
					attestations.Add(fmt.Sprint(i), f.witnesses[i].CanAttest(), f.heads[i] == reader)
				}
				if at, ok := attestations.Confirmed().Get(); ok {
					require.Equal(t, askedAt, at)
					next, accepted := f.accepted[reader+1]
					require.False(t, accepted && !next.After(at), "head %d was accepted at %v", reader+1, next)
				}
			},
		})
	})
}

func TestConfirmationNeedsEveryWitness(t *testing.T) {
	attestations := brwitness.NewAttestations([]string{"a", "b"}, start)
	attestations.Add("a", true, true)
	require.False(t, attestations.Confirmed().IsPresent())
	attestations.Add("b", true, true)
	require.True(t, attestations.Confirmed().IsPresent())
	attestations.Add("b", false, true)
	require.False(t, attestations.Confirmed().IsPresent())
	require.False(t, brwitness.NewAttestations(nil, start).Confirmed().IsPresent(), "nothing is confirmed without witnesses")
}

func TestWitnessesAreSpreadOverDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		vms := rapid.IntRange(1, 12).Draw(t, "VMs")
		meta := brconfig.NewMeta
		changes := []brconfig.Change{brconfig.Put(brconfig.NewRegion(meta("region")))}
		for d := range domains {
			name := fmt.Sprint("domain-", d)
			changes = append(changes, brconfig.Put(brconfig.NewDomain(meta(name), "region")), brconfig.Put(brconfig.NewSite(meta(name), name)))
		}
		for v := range vms {
			changes = append(changes, brconfig.Put(brconfig.NewVM(meta(fmt.Sprint("vm-", v)), fmt.Sprint("domain-", v%domains), "", fmt.Sprint("10.0.0.1:", v+1))))
		}
		snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
		require.NoError(t, err)
		chosen := brwitness.Choose(snapshot)
		require.Len(t, chosen, min(brwitness.Count, vms))
		require.Len(t, slices.Compact(slices.Clone(chosen)), len(chosen))
		used := map[string]bool{}
		for _, name := range chosen {
			vm, ok := snapshot.VMs().Get(name).Get()
			require.True(t, ok)
			used[vm.Site()] = true
		}
		require.Len(t, used, min(brwitness.Count, vms, domains))
	})
}
