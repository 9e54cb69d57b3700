// Package brfinding checks configurations for faults that are valid on their own: parts that
// can never take effect and limits that contradict each other. It also lists the
// differences between two versions.
//
// CheckPolicy checks the configuration of the users' platform, CheckSnapshot the
// project's own resources.
//
// # Usage
//
//	for _, f := range brfinding.CheckPolicy(policy, broption.Some(servers)) {
//		fmt.Println(f.Kind(), f.Name(), f.Code(), f.Message())
//	}
package brfinding

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity tells whether a finding is certainly a fault.
type Severity string

const (
	// SeverityError marks a part of the configuration that can't work.
	SeverityError Severity = "error"
	// SeverityWarning marks a part that is probably not as intended.
	SeverityWarning Severity = "warning"
)

// Code identifies what was found.
type Code string

// The codes of findings.
const (
	CodeInvalid              Code = "invalid"
	CodeDuplicate            Code = "declared-twice"
	CodeNeverMatches         Code = "never-matches"
	CodeShadowed             Code = "shadowed"
	CodeWeightZero           Code = "weight-zero"
	CodeServiceUnknown       Code = "service-unknown"
	CodeServiceWithoutServer Code = "service-without-server"
	CodeRegionWithoutServer  Code = "region-without-server"
	CodeRegionsDisjoint      Code = "regions-disjoint"
	CodeKeyMissing           Code = "key-missing"
	CodeKeyShared            Code = "key-shared"
	CodeTimeout              Code = "timeout-below-objective"
	CodeAttemptsUnused       Code = "attempts-unused"
	CodeAttemptsBudget       Code = "attempts-beyond-budget"
	CodeBurst                Code = "burst-below-request"
	CodeRate                 Code = "rate-above-capacity"
)

// Finding is a fault of one resource. It is immutable.
type Finding struct {
	severity Severity
	code     Code
	kind     string
	name     string
	field    string
	message  string
}

// New returns a finding about a field of a resource; the field may be empty.
func New(severity Severity, code Code, kind, name, field, message string) Finding {
	return Finding{severity: severity, code: code, kind: kind, name: name, field: field, message: message}
}

// Severity returns whether the finding is certainly a fault.
func (f Finding) Severity() Severity { return f.severity }

// Code returns what was found.
func (f Finding) Code() Code { return f.code }

// Kind returns the kind of the resource.
func (f Finding) Kind() string { return f.kind }

// Name returns the name of the resource.
func (f Finding) Name() string { return f.name }

// Field returns the field, or an empty string if the finding is about the whole resource.
func (f Finding) Field() string { return f.field }

// Message returns what is wrong, for operators.
func (f Finding) Message() string { return f.message }

// findings collects findings.
type findings struct {
	list []Finding
}

func (f *findings) add(severity Severity, code Code, kind, name, field, format string, arguments ...any) {
	f.list = append(f.list, New(severity, code, kind, name, field, fmt.Sprintf(format, arguments...)))
}

// sorted returns the findings ordered by resource.
func (f *findings) sorted() []Finding {
	slices.SortStableFunc(f.list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
	return f.list
}
