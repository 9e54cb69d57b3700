package brdocument_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/decide/brvalidation"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const sampleResources = `[
 {"kind":"team","name":"azul","spec":{"maxObjects":5,"writesPerMinute":3}},
 {"kind":"token","name":"azul-ana","team":"azul","spec":{"hash":"c9","role":"editor"}},
 {"kind":"selector","name":"gold","labels":{"a":"b"},"spec":{"selects":"organisation","where":[{"key":"tier","operator":"in","values":["gold"]}],"priority":3,"effect":{"weights":[{"target":"region","name":"este","fraction":"1/3"},{"target":"version","name":"v2","fraction":"2/3"}]}}},
 {"kind":"selector","name":"half","spec":{"selects":"route","effect":{"cap":"1/2"}}},
 {"kind":"selector","name":"late","spec":{"selects":"service","effect":{"version":"v2","by":"2026-12-05T10:00:00Z"}}},
 {"kind":"move","name":"m","spec":{"service":"lookup","from":"v1","to":"v2","cap":"1/20","start":"2026-12-04T10:00:00Z","by":"2026-12-05T10:00:00Z","state":"running","step":2,"reason":"steady"}},
 {"kind":"drain","name":"d","spec":{"target":{"kind":"region","name":"este"},"at":"2026-12-04T10:00:00Z","by":"2026-12-04T11:00:00Z"}}
]`

func TestResourcesSurviveRoundTrip(t *testing.T) {
	resources, err := brdocument.DecodeResources([]byte(sampleResources))
	require.NoError(t, err)
	require.Len(t, resources, 7)
	for _, r := range resources {
		data, err := brdocument.EncodeResource(r)
		require.NoError(t, err)
		again, err := brdocument.DecodeResources(data)
		require.NoError(t, err)
		require.Equal(t, r, again[0])
	}
}

// Any resource that can be decoded and passes validation must survive a round trip
// through EncodeResource.
func FuzzDecodeResources(f *testing.F) {
	f.Add([]byte(sampleResources))
	f.Add([]byte(`{"kind":"contract","name":"c","spec":{"organisation":"o","unit":"u","rate":"1e999999999","period":"1s","burst":"1"}}`))
	f.Add([]byte(`{"kind":"selector","name":"s","spec":{"selects":"route","effect":{}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		resources, err := brdocument.DecodeResources(data)
		if err != nil {
			return
		}
		for _, r := range resources {
			if brvalidation.CheckChanges([]brconfig.Change{brconfig.Put(r)}) != nil {
				continue
			}
			encoded, err := brdocument.EncodeResource(r)
			require.NoError(t, err)
			again, err := brdocument.DecodeResources(encoded)
			require.NoError(t, err)
			repeated, err := brdocument.EncodeResource(again[0])
			require.NoError(t, err)
			require.JSONEq(t, string(encoded), string(repeated))
		}
	})
}
