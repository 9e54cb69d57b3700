package brcapacity

import (
	"math"
	"strconv"
	"strings"
)

// Origin is the source of a quantity's value.
type Origin string

// Origins of quantities.
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

// Given returns a quantity that the requirements specify.
func Given(name string, value float64, unit string) Quantity {
	return Quantity{name: name, value: value, unit: unit, origin: OriginGiven}
}

// Measured returns a quantity that was measured in a single run.
func Measured(name string, value float64, unit string) Quantity {
	return Quantity{name: name, value: value, unit: unit, origin: OriginMeasured}
}

// Estimated returns a quantity that has not been measured.
func Estimated(name string, value float64, unit string) Quantity {
	return Quantity{name: name, value: value, unit: unit, origin: OriginEstimated}
}

// Constant returns a quantity that is a constant of the code.
func Constant(name string, value float64, unit string) Quantity {
	return Quantity{name: name, value: value, unit: unit, origin: OriginConstant}
}

// Name returns the name, which describes the quantity on the capacity page.
func (q Quantity) Name() string { return q.name }

// Value returns the value in the quantity's unit.
func (q Quantity) Value() float64 { return q.value }

// Unit returns the unit.
func (q Quantity) Unit() string { return q.unit }

// Origin returns the source of the value.
func (q Quantity) Origin() Origin { return q.origin }

// String returns the value, unit and name, followed by the calculation of a derived
// value and a mark for estimates.
func (q Quantity) String() string {
	text := formatNumber(q.value)
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

// significantDigits is the minimum number of significant digits of numbers on the page.
const significantDigits = 3

// formatNumber formats a value with significantDigits digits, or more if the integer part
// has more, with commas as thousands separators.
func formatNumber(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := int(math.Floor(math.Log10(math.Abs(value)))) + 1
	text := strconv.FormatFloat(value, 'f', max(significantDigits-digits, 0), 64)
	whole, fraction, hasFraction := strings.Cut(text, ".")
	if hasFraction {
		fraction = strings.TrimRight(fraction, "0")
	}
	text = groupThousands(whole)
	if fraction != "" {
		text += "." + fraction
	}
	return text
}

// groupThousands inserts a comma between each three digits of an integer.
func groupThousands(whole string) string {
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
