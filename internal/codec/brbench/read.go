// Package brbench parses the output of Go benchmarks into series of costs by size.
//
// A benchmark named BenchmarkApply/blocks=1000-8 yields one point of the series
// (Apply, blocks) for each of its units. Repeated runs of the same size are
// reduced to their median.
//
// # Usage
//
//	results, err := brbench.Read(file, "bench.txt")
//	points, err := results.Series("Apply", "blocks", "ns/op")
package brbench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/perf/benchfmt"
)

// Results holds the parsed results of benchmarks.
type Results struct {
	costs map[key][]float64
}

// Point is one measurement of a series: the cost at one size.
type Point struct {
	size float64
	cost float64
}

// Size returns the size in the dimension of the series.
func (p Point) Size() float64 { return p.size }

// Cost returns the cost in the unit of the series.
func (p Point) Cost() float64 { return p.cost }

// key identifies the measurements of one cost at one size.
type key struct {
	benchmark string
	dimension string
	unit      string
	size      float64
}

// Read parses the output of benchmarks. The name is used in error messages only.
func Read(input io.Reader, name string) (*Results, error) {
	r := &Results{costs: map[key][]float64{}}
	reader := benchfmt.NewReader(input, name)
	for reader.Scan() {
		switch record := reader.Result().(type) {
		case *benchfmt.Result:
			r.add(record)
		case *benchfmt.SyntaxError:
			return nil, errors.Errorf("parse benchmarks: %w", record)
		}
	}
	if err := reader.Err(); err != nil {
		return nil, errors.Errorf("read benchmarks: %w", err)
	}
	return r, nil
}

func (r *Results) add(record *benchfmt.Result) {
	base, parts := record.Name.Parts()
	for _, part := range parts {
		dimension, size, ok := parseSize(string(part))
		if !ok {
			continue
		}
		for _, v := range record.Values {
			k := key{benchmark: string(base), dimension: dimension, unit: v.Unit, size: size}
			cost := v.Value
			if v.OrigUnit != "" {
				k.unit, cost = v.OrigUnit, v.OrigValue
			}
			r.costs[k] = append(r.costs[k], cost)
		}
	}
}

// parseSize parses a part of a benchmark name such as "/blocks=1000".
func parseSize(part string) (string, float64, bool) {
	dimension, text, ok := strings.Cut(strings.TrimPrefix(part, "/"), "=")
	if !ok {
		return "", 0, false
	}
	size, err := strconv.ParseFloat(text, 64)
	return dimension, size, err == nil
}

// Series returns the points of one cost over one dimension in ascending order of
// size. It returns ErrSeriesNotExist if there are none.
func (r *Results) Series(benchmark, dimension, unit string) ([]Point, error) {
	points := []Point{}
	for k, costs := range r.costs {
		if k.benchmark == benchmark && k.dimension == dimension && k.unit == unit {
			points = append(points, Point{size: k.size, cost: median(costs)})
		}
	}
	if len(points) == 0 {
		return nil, ErrSeriesNotExist{benchmark: benchmark, dimension: dimension, unit: unit}
	}
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.size, b.size) })
	return points, nil
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// ErrSeriesNotExist is returned when no benchmark yields the requested series.
type ErrSeriesNotExist struct {
	benchmark string
	dimension string
	unit      string
}

// Error implements the error interface.
func (e ErrSeriesNotExist) Error() string {
	return fmt.Sprintf("benchmark %q has no series of %s over %s", e.benchmark, e.unit, e.dimension)
}

// IsErrSeriesNotExist reports whether err is or wraps ErrSeriesNotExist.
func IsErrSeriesNotExist(err error) bool {
	_, ok := errors.Into[ErrSeriesNotExist](err)
	return ok
}
