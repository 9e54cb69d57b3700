package brcapacity_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brcapacity"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

func TestFitOfExactLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intercept := rapid.Float64Range(0, 1e6).Draw(t, "intercept")
		slope := rapid.Float64Range(0, 1e3).Draw(t, "slope")
		series := brcapacity.NewSeries("blocks", "ns")
		for _, size := range []float64{1000, 10_000, 110_000} {
			series = series.With(size, intercept+slope*size)
		}
		fit, err := series.Fit()
		require.NoError(t, err)
		scale := 1 + intercept + slope*110_000
		require.InDelta(t, 0, fit.Residual()/scale, 1e-9)
		require.InDelta(t, 1, (1+fit.At("cost", 220_000).Value())/(1+intercept+slope*220_000), 1e-6)
	})
}

func TestFitRequiresThreeSizes(t *testing.T) {
	series := brcapacity.NewSeries("VMs", "B").With(10, 1).With(20, 2).With(20, 3)
	_, err := series.Fit()
	require.Error(t, err)
}

func TestLineFormatsArithmetic(t *testing.T) {
	fit, err := brcapacity.NewSeries("blocks", "ns").With(1000, 350).With(2000, 350).With(4000, 350).Fit()
	require.NoError(t, err)
	line := brcapacity.NewLine("look-ups", "processor time", "ms/s").
		AddScaled(1e-6, brcapacity.Given("look-ups of a VM", 1875, "1/s"), fit.At("one look-up", 110_000)).
		Add(brcapacity.Estimated("upkeep", 0.1, "ms/s"))
	require.InDelta(t, 0.75625, line.Value(), 1e-9)
	require.Equal(t, "1,875 1/s look-ups of a VM × 350 ns one look-up (350 + 0 × 110,000 blocks) + 0.1 ms/s upkeep [estimated] = 0.756 ms/s", line.Arithmetic())
	require.True(t, line.Estimated())
	budget := brcapacity.NewBudget("processor time", "ms/s", 0.75)
	require.True(t, budget.Over([]brcapacity.Line{line}))
}

func TestWithMinSizeExcludesSmallerSizes(t *testing.T) {
	series := brcapacity.NewSeries("VMs", "B").With(10, 1).With(50, 2).With(100, 3)
	require.Equal(t, 2, series.WithMinSize(50).Len())
	require.Equal(t, 3, series.Len())
}

func TestPlannedLinesReplaceCurrentLines(t *testing.T) {
	small := brcapacity.NewLine("list", "messages", "KB/s").Add(brcapacity.Estimated("changes", 1, "KB/s"))
	unplanned := brcapacity.NewLine("loans", "messages", "KB/s").Add(brcapacity.Measured("loans", 6, "KB/s"))
	lines := []brcapacity.Line{
		brcapacity.NewLine("list", "messages", "KB/s").Add(brcapacity.Measured("whole", 19, "KB/s")).WithPlanned(small),
		unplanned,
	}
	budget := brcapacity.NewBudget("messages", "KB/s", 12)
	require.True(t, budget.Over(lines))
	require.False(t, budget.Over(brcapacity.Planned(lines)))
	require.InDelta(t, 7, budget.Used(brcapacity.Planned(lines)), 1e-9)
}

func TestMeanOfAFit(t *testing.T) {
	fit, err := brcapacity.NewSeries("VMs", "ms").With(10, 8).With(30, 5).With(60, 5).Fit()
	require.NoError(t, err)
	require.Equal(t, "6 ms idle VM (mean over 10; 30; 60 VMs)", fit.Mean("idle VM").String())
}
