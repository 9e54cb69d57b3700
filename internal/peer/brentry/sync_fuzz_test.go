package brentry

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// Whatever another VM sends is decoded or refused.
func FuzzDecodeSync(f *testing.F) {
	sound, err := proto.Marshal(&brentrypb.SyncReply{
		Fleet: &brentrypb.StandingMessage{Members: []string{"vm-1"}, Demands: map[string]float64{"yefi": 3}},
		Areas: []*brentrypb.AreaMessage{{Area: 1, Revision: 7, Records: []*brentrypb.RecordMessage{{Key: "i-1", Revision: 7}}}},
	})
	require.NoError(f, err)
	f.Add(sound)
	odd, err := proto.Marshal(&brentrypb.SyncReply{
		Fleet: &brentrypb.StandingMessage{Demands: map[string]float64{"yefi": math.NaN(), "taller": -1}, Poison: []*brentrypb.PoisonNotice{{}}},
		Areas: []*brentrypb.AreaMessage{{Area: 1 << 31}},
	})
	require.NoError(f, err)
	f.Add(odd)
	f.Fuzz(func(t *testing.T, data []byte) {
		reply := &brentrypb.SyncReply{}
		if proto.Unmarshal(data, reply) != nil {
			return
		}
		for _, area := range reply.GetAreas() {
			if batch, err := decodeBatch(area); err == nil {
				require.NotEmpty(t, batch.Area().String())
			}
		}
		for _, rate := range decodeStatus(reply.GetFleet()).Demands() {
			require.GreaterOrEqual(t, rate, 0.0)
		}
	})
}
