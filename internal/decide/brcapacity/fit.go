// Package brcapacity computes the resource usage of each role of the system at the
// target size, which is too large to run for a benchmark. It extrapolates costs
// that are measured at smaller sizes.
//
// A Series holds the measured points of one cost over one dimension. Its Fit is
// the linear least-squares fit with its largest residual. A Line of the capacity
// page is a sum of products of quantities. It formats its own arithmetic, so that
// the page cannot differ from the calculation. Model.Tables generates all tables of
// the page.
//
// # Usage
//
//	series := brcapacity.NewSeries("blocks", "ns").With(1000, 820).With(10000, 900)
//	fit, err := series.Fit()
//	cost := fit.At("apply one change", 110_000)
//	line := brcapacity.NewLine("configuration distribution", "processor time", "ms/s").
//		Add(brcapacity.Given("changes", 0.37, "1/s"), cost)
//	fmt.Println(line.Arithmetic())
package brcapacity

import (
	"fmt"
	"math"
	"slices"

	"github.com/go-faster/errors"
	"gonum.org/v1/gonum/stat"
)

// minSizes is the minimum number of distinct sizes for a fit.
const minSizes = 3

// roundingError is the fraction of the largest cost below which a residual is
// attributed to floating-point rounding rather than to the measured points.
const roundingError = 1e-12

// Series is a set of measured points of one cost over one dimension. It is
// immutable.
type Series struct {
	dimension string
	unit      string
	sizes     []float64
	costs     []float64
}

// NewSeries returns an empty series of a cost in the given unit.
func NewSeries(dimension, unit string) Series {
	return Series{dimension: dimension, unit: unit}
}

// With returns a copy of the series with an additional point.
func (s Series) With(size, cost float64) Series {
	s.sizes = append(slices.Clip(s.sizes), size)
	s.costs = append(slices.Clip(s.costs), cost)
	return s
}

// WithMinSize returns a copy of the series without the points below the given size.
func (s Series) WithMinSize(size float64) Series {
	filtered := NewSeries(s.dimension, s.unit)
	for i, other := range s.sizes {
		if other >= size {
			filtered = filtered.With(other, s.costs[i])
		}
	}
	return filtered
}

// Dimension returns the name of the dimension.
func (s Series) Dimension() string { return s.dimension }

// Unit returns the unit of the cost.
func (s Series) Unit() string { return s.unit }

// Len returns the number of points.
func (s Series) Len() int { return len(s.sizes) }

// Fit returns the linear least-squares fit of the points. It fails if the series
// has fewer than minSizes distinct sizes.
func (s Series) Fit() (Fit, error) {
	distinct := slices.Compact(slices.Sorted(slices.Values(s.sizes)))
	if len(distinct) < minSizes {
		return Fit{}, errors.Errorf("series over %s has %d distinct sizes, at least %d are required", s.dimension, len(distinct), minSizes)
	}
	intercept, slope := stat.LinearRegression(s.sizes, s.costs, nil, false)
	f := Fit{series: s, intercept: intercept, slope: slope}
	for i, size := range s.sizes {
		f.residual = max(f.residual, math.Abs(s.costs[i]-f.value(size)))
	}
	if f.residual < roundingError*slices.Max(s.costs) {
		f.residual = 0
	}
	return f, nil
}

// Fit is the linear fit of a series.
type Fit struct {
	series    Series
	intercept float64
	slope     float64
	residual  float64
}

// Intercept returns the cost at size 0, in the unit of the series.
func (f Fit) Intercept() float64 { return f.intercept }

// Slope returns the additional cost per unit of the dimension.
func (f Fit) Slope() float64 { return f.slope }

// Residual returns the largest absolute difference between a measured cost and the
// fit.
func (f Fit) Residual() float64 { return f.residual }

// At returns the cost at a size as a measured quantity. Negative extrapolated costs
// are replaced by 0.
func (f Fit) At(name string, size float64) Quantity {
	return Quantity{
		name:   name,
		value:  max(f.value(size), 0),
		unit:   f.series.unit,
		origin: OriginMeasured,
		detail: fmt.Sprintf("%s + %s × %s %s", formatNumber(f.intercept), formatNumber(f.slope), formatNumber(size), f.series.dimension),
	}
}

// Mean returns the mean cost over all points as a measured quantity.
func (f Fit) Mean(name string) Quantity {
	return Quantity{
		name:   name,
		value:  stat.Mean(f.series.costs, nil),
		unit:   f.series.unit,
		origin: OriginMeasured,
		detail: "mean over " + f.sizes() + " " + f.series.dimension,
	}
}

func (f Fit) value(size float64) float64 {
	return f.intercept + f.slope*size
}
