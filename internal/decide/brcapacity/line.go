package brcapacity

import "strings"

// Line is the usage of one resource by one mechanism of a role, as a sum of products
// of quantities. It is immutable.
type Line struct {
	role      string
	resource  string
	unit      string
	mechanism string
	terms     []term
	planned   []Line // lines of a planned mechanism that replaces this one, if any
}

// term is a product of quantities. The scale converts their units to the line's
// unit.
type term struct {
	scale   float64
	factors []Quantity
}

// NewLine returns a line without terms for the usage of a resource by a role.
func NewLine(role, resource, unit string) Line {
	return Line{role: role, resource: resource, unit: unit}
}

// WithMechanism returns a copy of the line with the mechanism that causes the cost.
func (l Line) WithMechanism(mechanism string) Line {
	l.mechanism = mechanism
	return l
}

// WithPlanned returns a copy of the line with the line of a planned mechanism that
// will replace it.
func (l Line) WithPlanned(planned Line) Line {
	l.planned = []Line{planned}
	return l
}

// Planned returns the lines, replaced by the lines of planned mechanisms where there
// are any.
func Planned(lines []Line) []Line {
	planned := []Line{}
	for _, l := range lines {
		if len(l.planned) > 0 {
			planned = append(planned, l.planned...)
			continue
		}
		planned = append(planned, l)
	}
	return planned
}

// Add returns a copy of the line with an additional product. The product of the
// quantities' units must be the line's unit.
func (l Line) Add(factors ...Quantity) Line {
	return l.AddScaled(1, factors...)
}

// AddScaled returns a copy of the line with an additional product, multiplied by a
// unit conversion factor such as 1e-6 from ns to ms.
func (l Line) AddScaled(scale float64, factors ...Quantity) Line {
	l.terms = append(l.terms[:len(l.terms):len(l.terms)], term{scale: scale, factors: factors})
	return l
}

// Role returns the name of the role.
func (l Line) Role() string { return l.role }

// Resource returns the name of the resource.
func (l Line) Resource() string { return l.resource }

// Unit returns the unit of the value.
func (l Line) Unit() string { return l.unit }

// Mechanism returns the mechanism that causes the cost.
func (l Line) Mechanism() string { return l.mechanism }

// Value returns the usage in the line's unit.
func (l Line) Value() float64 {
	sum := 0.0
	for _, t := range l.terms {
		sum += t.value()
	}
	return sum
}

// Estimated reports whether the line depends on an estimated quantity.
func (l Line) Estimated() bool {
	for _, t := range l.terms {
		for _, f := range t.factors {
			if f.origin == OriginEstimated {
				return true
			}
		}
	}
	return false
}

// Text returns the value with its unit.
func (l Line) Text() string {
	return formatNumber(l.Value()) + " " + l.unit
}

// Arithmetic returns the calculation of the value as text.
func (l Line) Arithmetic() string {
	products := make([]string, 0, len(l.terms))
	for _, t := range l.terms {
		factors := make([]string, 0, len(t.factors))
		for _, f := range t.factors {
			factors = append(factors, f.String())
		}
		products = append(products, strings.Join(factors, " × "))
	}
	return strings.Join(products, " + ") + " = " + l.Text()
}

func (t term) value() float64 {
	product := t.scale
	for _, f := range t.factors {
		product *= f.value
	}
	return product
}

// Budget is the upper limit for the total usage of one resource.
type Budget struct {
	resource string
	unit     string
	limit    float64
}

// NewBudget returns a budget for a resource.
func NewBudget(resource, unit string, limit float64) Budget {
	return Budget{resource: resource, unit: unit, limit: limit}
}

// Resource returns the name of the resource.
func (b Budget) Resource() string { return b.resource }

// Limit returns the limit with its unit.
func (b Budget) Limit() string { return formatNumber(b.limit) + " " + b.unit }

// Used returns the total usage of the budget's resource by the lines.
func (b Budget) Used(lines []Line) float64 {
	sum := 0.0
	for _, l := range lines {
		if l.resource == b.resource {
			sum += l.Value()
		}
	}
	return sum
}

// Text returns the total usage by the lines with its unit.
func (b Budget) Text(lines []Line) string {
	return formatNumber(b.Used(lines)) + " " + b.unit
}

// Over reports whether the total usage by the lines exceeds the limit.
func (b Budget) Over(lines []Line) bool {
	return b.Used(lines) > b.limit
}
