package brcapacity

import (
	"math"
	"strconv"
	"strings"
)

// Origin says where a quantity comes from.
type Origin string

// The origins of quantities.
const (
	OriginGiven     Origin = "given"
	OriginMeasured  Origin = "measured"
	OriginEstimated Origin = "estimated"
	OriginConstant  Origin = "constant"
)

// Quantity is a named value with its unit and origin. It is immutable.
type Quantity struct {
	name   string
	value  float64
	unit   string
	origin Origin
	detail string
}

// Given returns a quantity that the target states.
func Given(name string, value float64, unit string) Quantity {
	return Quantity{name: name, value: value, unit: unit, origin: OriginGiven}
}

// Measured returns a quantity that one run measured.
func Measured(name string, value float64, unit string) Quantity {
	return Quantity{name: name, value: value, unit: unit, origin: OriginMeasured}
}

// Estimated returns a quantity that nothing measured yet.
func Estimated(name string, value float64, unit string) Quantity {
	return Quantity{name: name, value: value, unit: unit, origin: OriginEstimated}
}

// Constant returns a quantity that the code sets.
func Constant(name string, value float64, unit string) Quantity {
	return Quantity{name: name, value: value, unit: unit, origin: OriginConstant}
}

// Name returns the name.
func (q Quantity) Name() string { return q.name }

// Value returns the value in its unit.
func (q Quantity) Value() float64 { return q.value }

// Unit returns the unit.
func (q Quantity) Unit() string { return q.unit }

// Origin returns where the quantity comes from.
func (q Quantity) Origin() Origin { return q.origin }

// String returns value, unit and name, and how a fitted value came about.
func (q Quantity) String() string {
	text := number(q.value)
	if q.unit != "" {
		text += " " + q.unit
	}
	text += " " + q.name
	if q.detail != "" {
		text += " (" + q.detail + ")"
	}
	if q.origin == OriginEstimated {
		text += " [estimated]"
	}
	return text
}

// significant is the number of digits that numbers on the page keep.
const significant = 3

// number writes a value with three significant digits, or all digits before
// the point, with commas between thousands.
func number(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := int(math.Floor(math.Log10(math.Abs(value)))) + 1
	text := strconv.FormatFloat(value, 'f', max(significant-digits, 0), 64)
	whole, fraction, hasFraction := strings.Cut(text, ".")
	if hasFraction {
		fraction = strings.TrimRight(fraction, "0")
	}
	text = withCommas(whole)
	if fraction != "" {
		text += "." + fraction
	}
	return text
}

func withCommas(whole string) string {
	digits, negative := strings.CutPrefix(whole, "-")
	groups := []string{}
	for len(digits) > 3 {
		groups = append([]string{digits[len(digits)-3:]}, groups...)
		digits = digits[:len(digits)-3]
	}
	text := strings.Join(append([]string{digits}, groups...), ",")
	if negative {
		return "-" + text
	}
	return text
}
