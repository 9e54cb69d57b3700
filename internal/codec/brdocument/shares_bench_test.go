package brdocument_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brallocation"
)

// BenchmarkShares measures encoding and decoding the rate limit shares of a failure
// domain by number of VMs.
func BenchmarkShares(b *testing.B) {
	const whole = 1 << 20
	for _, vms := range []int{10, 50, 136} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			slots := []brallocation.Slot{}
			for i := range vms {
				name := fmt.Sprintf("floor-%d", i)
				slots = append(slots, brallocation.NewSlot(name, whole/brallocation.Parts(vms)).
					WithHolder("0123456789abcdef0123456789abcdef", fmt.Sprintf("vm-%d", i), time.Hour))
			}
			row, err := brallocation.NewRow(whole, slots...)
			require.NoError(b, err)
			var data []byte
			for b.Loop() {
				data, err = brdocument.EncodeShares(row)
				require.NoError(b, err)
				_, err = brdocument.DecodeShares(data)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "row-B")
		})
	}
}
