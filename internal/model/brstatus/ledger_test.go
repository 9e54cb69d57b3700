package brstatus_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/model/brstatus"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

const revision = 7

// ledgerVM is a run of a VM that counts bad answers and merges the ledgers of others.
type ledgerVM struct {
	reporter brstatus.Reporter
	counted  uint64
	ledger   brstatus.Ledger
}

func (v *ledgerVM) count() {
	v.counted++
	own := brstatus.Ledger{revision: {v.reporter: brstatus.NewTally(0, v.counted, 0, 0)}}
	v.ledger = v.ledger.Merge(own)
}

// Guards against counts of rollouts that are lost as VMs restart in turn, or that count twice
// as VMs pass them on, late or repeatedly (EXPOSURE, review case 8).
func TestLedgerKeepsCountsOfStoppedVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		next := brstatus.Reporter(0)
		start := func() *ledgerVM {
			next++
			return &ledgerVM{reporter: next}
		}
		vms := []*ledgerVM{start(), start(), start(), start()}
		counted, messages := uint64(0), []brstatus.Ledger{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			v := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				v.count()
				counted++
			case 1: // a message, which may arrive late and repeatedly
				messages = append(messages, v.ledger)
			case 2:
				if len(messages) > 0 {
					v.ledger = v.ledger.Merge(rapid.SampledFrom(messages).Draw(t, "message"))
				}
			case 3: // another VM takes over what differs, then the VM restarts
				other := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "other")]
				if other == v {
					continue
				}
				other.ledger = other.ledger.Merge(v.ledger.Without(other.ledger))
				*v = *start()
			}
			require.LessOrEqual(t, v.ledger.Tally(revision).TargetBad(), counted)
		}
		union := brstatus.Ledger{}
		for _, v := range vms {
			union = union.Merge(v.ledger)
		}
		require.Equal(t, counted, union.Tally(revision).TargetBad())
	})
}
