package brlabel

import "slices"

// Operator is the comparison that a requirement makes.
type Operator string

// The operators of requirements.
const (
	OperatorIn     Operator = "in"
	OperatorNotIn  Operator = "notin"
	OperatorExists Operator = "exists"
	OperatorAbsent Operator = "absent"
)

// Requirement is a condition on one label.
type Requirement struct {
	key      string
	operator Operator
	values   []string
}

// NewRequirement returns a condition on the label with a key. OperatorExists and
// OperatorAbsent take no values.
func NewRequirement(key string, operator Operator, values ...string) Requirement {
	return Requirement{key: key, operator: operator, values: slices.Clone(values)}
}

// Key returns the key of the label.
func (r Requirement) Key() string { return r.key }

// Operator returns the comparison.
func (r Requirement) Operator() Operator { return r.operator }

// Values returns the values to compare with. The caller must not modify the slice.
func (r Requirement) Values() []string { return r.values }

// Matches reports whether labels satisfy the condition. A missing label satisfies
// OperatorNotIn.
func (r Requirement) Matches(labels Labels) bool {
	value, present := labels.Get(r.key).Get()
	switch r.operator {
	case OperatorIn:
		return present && slices.Contains(r.values, value)
	case OperatorNotIn:
		return !present || !slices.Contains(r.values, value)
	case OperatorExists:
		return present
	case OperatorAbsent:
		return !present
	default:
		return false
	}
}

// Expression is a conjunction of conditions. The empty expression matches everything.
type Expression struct {
	requirements []Requirement
}

// NewExpression returns the conjunction of requirements.
func NewExpression(requirements ...Requirement) Expression {
	return Expression{requirements: slices.Clone(requirements)}
}

// Requirements returns the conditions. The caller must not modify the slice.
func (e Expression) Requirements() []Requirement { return e.requirements }

// Matches reports whether labels satisfy all conditions.
func (e Expression) Matches(labels Labels) bool {
	for _, r := range e.requirements {
		if !r.Matches(labels) {
			return false
		}
	}
	return true
}
