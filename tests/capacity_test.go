package tests

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/codec/brbench"
	"bergamotroad.example/bergamotroad/internal/decide/brcapacity"
)

var update = flag.Bool("update", false, "write the generated tables into docs/CAPACITY.md")

// The tables on the capacity page must equal those that the model computes from the
// recorded benchmark results.
func TestCapacityPage(t *testing.T) {
	path := filepath.Join("..", "docs", "CAPACITY.md")
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	want := string(page)
	for name, table := range capacityModel(t).Tables() {
		want = replaceTable(t, want, name, table)
	}
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(want), 0o644))
		return
	}
	require.Equal(t, want, string(page), "tables on the capacity page are outdated; run `make capacity`")
}

func capacityModel(t *testing.T) *brcapacity.Model {
	t.Helper()
	output := []io.Reader{}
	for _, name := range []string{"bench.txt", "fleet.txt"} {
		file, err := os.Open(filepath.Join("..", "docs", "capacity", name))
		require.NoError(t, err)
		defer func() { _ = file.Close() }()
		output = append(output, file)
	}
	results, err := brbench.Read(io.MultiReader(output...), "docs/capacity")
	require.NoError(t, err)
	model, err := brcapacity.NewModel(func(s brcapacity.Slope) (brcapacity.Series, error) {
		series := brcapacity.NewSeries(s.Dimension(), strings.TrimSuffix(s.Unit(), "/op"))
		points, err := results.Series(s.Benchmark(), s.Dimension(), s.Unit())
		for _, p := range points {
			series = series.With(p.Size(), p.Cost())
		}
		return series, err
	})
	require.NoError(t, err)
	return model
}

// replaceTable returns the page with the text between the markers of a table replaced.
func replaceTable(t *testing.T, page, name, table string) string {
	t.Helper()
	begin, end := "<!-- table "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, ok := strings.Cut(page, begin)
	require.True(t, ok, "page has no start marker of table %q", name)
	_, after, ok := strings.Cut(rest, end)
	require.True(t, ok, "page has no end marker of table %q", name)
	return before + begin + table + end + after
}
