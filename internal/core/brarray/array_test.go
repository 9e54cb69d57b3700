package brarray_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brarray"
)

func TestSplitKeepsElementsApart(t *testing.T) {
	deep := strings.Repeat(`{"a":[`, 30_000) + strings.Repeat(`]}`, 30_000)
	list := []string{`{"n":1}`, deep, `1e999`, `[]`, `"a,]"`, `null`}
	elements, err := brarray.Split([]byte("[ " + strings.Join(list, " , ") + "]"))
	require.NoError(t, err)
	require.Len(t, elements, len(list))
	for i, element := range elements {
		require.Equal(t, list[i], string(element))
	}
}

func TestSplitRefusesIncompleteArrays(t *testing.T) {
	for _, text := range []string{"", "{}", "[", "[1", "[1,", `[{"a":1]`, "null"} {
		_, err := brarray.Split([]byte(text))
		require.Error(t, err, text)
	}
}

func FuzzSplit(f *testing.F) {
	f.Add(`[{"targets":["10.0.0.1:80"],"labels":{"name":"vm-1"}}, 7, [[]]]`)
	f.Fuzz(func(t *testing.T, text string) {
		want := []json.RawMessage{}
		if json.Unmarshal([]byte(text), &want) != nil || want == nil {
			return
		}
		elements, err := brarray.Split([]byte(text))
		require.NoError(t, err)
		require.Len(t, elements, len(want))
		for i, element := range elements {
			require.JSONEq(t, string(want[i]), string(element))
		}
	})
}
