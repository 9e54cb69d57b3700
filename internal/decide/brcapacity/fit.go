// Package brcapacity works out what each role of the system costs at a size
// that can't be run here, from slopes that were measured at sizes that can.
//
// A Series holds measured points of one cost over one dimension. Its Fit is the
// straight line of least squares with its largest residual. A Line of the
// capacity page is a sum of products of quantities; it writes out its own
// arithmetic, so that page and code can't differ.
//
// # Usage
//
//	series := brcapacity.NewSeries("blocks", "ns").With(1000, 820).With(10000, 900)
//	fit, err := series.Fit()
//	cost := fit.At("apply one change", 110_000)
//	line := brcapacity.NewLine("spreading", "processor time", "ms/s").
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

// minPoints is the least number of sizes at which a slope is measured.
const minPoints = 3

// roundingError is the part of a cost below which a residual is not one of the points.
const roundingError = 1e-12

// Series holds measured points of one cost over one dimension. It is immutable.
type Series struct {
	dimension string
	unit      string
	sizes     []float64
	costs     []float64
}

// NewSeries returns a series without points.
func NewSeries(dimension, unit string) Series {
	return Series{dimension: dimension, unit: unit}
}

// With returns the series with one more point.
func (s Series) With(size, cost float64) Series {
	s.sizes = append(slices.Clip(s.sizes), size)
	s.costs = append(slices.Clip(s.costs), cost)
	return s
}

// From returns the series with the points of a size or more.
func (s Series) From(size float64) Series {
	kept := NewSeries(s.dimension, s.unit)
	for i, other := range s.sizes {
		if other >= size {
			kept = kept.With(other, s.costs[i])
		}
	}
	return kept
}

// Dimension returns the name of the dimension.
func (s Series) Dimension() string { return s.dimension }

// Unit returns the unit of the cost.
func (s Series) Unit() string { return s.unit }

// Len returns the number of points.
func (s Series) Len() int { return len(s.sizes) }

// Fit returns the straight line of least squares through the points.
func (s Series) Fit() (Fit, error) {
	distinct := slices.Compact(slices.Sorted(slices.Values(s.sizes)))
	if len(distinct) < minPoints {
		return Fit{}, errors.Errorf("series over %s has %d sizes, needs %d", s.dimension, len(distinct), minPoints)
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

// Fit is a straight line through measured points.
type Fit struct {
	series    Series
	intercept float64
	slope     float64
	residual  float64
}

// Intercept returns the cost at size 0, in the unit of the series.
func (f Fit) Intercept() float64 { return f.intercept }

// Slope returns the cost of one more in the dimension.
func (f Fit) Slope() float64 { return f.slope }

// Residual returns the largest distance of a measured point from the line.
func (f Fit) Residual() float64 { return f.residual }

// At returns the cost at a size as a measured quantity; a line that falls
// below 0 counts as 0.
func (f Fit) At(name string, size float64) Quantity {
	return Quantity{
		name:   name,
		value:  max(f.value(size), 0),
		unit:   f.series.unit,
		origin: OriginMeasured,
		detail: fmt.Sprintf("%s + %s × %s %s", number(f.intercept), number(f.slope), number(size), f.series.dimension),
	}
}

// Mean returns the mean over the measured sizes as a measured quantity.
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
