package bradministration

import (
	"bytes"
	"context"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Step is what a change would do to one resource.
type Step struct {
	reference brconfig.Reference
	before    broption.Option[brconfig.Resource]
	after     broption.Option[brconfig.Resource]
}

// Reference returns the resource.
func (s Step) Reference() brconfig.Reference { return s.reference }

// Before returns the resource as it is, if it exists.
func (s Step) Before() broption.Option[brconfig.Resource] { return s.before }

// After returns the resource as it would be, if it would exist.
func (s Step) After() broption.Option[brconfig.Resource] { return s.after }

// Plan is what a change would alter. It is immutable.
type Plan struct {
	generation uint64
	steps      []Step
	warnings   []string
}

// Generation returns the generation that the plan follows.
func (p Plan) Generation() uint64 { return p.generation }

// Steps returns the resources that would differ. The caller must not change the slice.
func (p Plan) Steps() []Step { return p.steps }

// Warnings returns what the operator should know of the change.
func (p Plan) Warnings() []string { return p.warnings }

// Plan tells what an operation would alter, or why it would be refused, and changes nothing.
func (a *Administration) Plan(ctx context.Context, operation Operation) (Plan, error) {
	snapshot, err := a.Snapshot(ctx)
	if err != nil {
		return Plan{}, err
	}
	changes, warnings, err := a.examine(snapshot, operation)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{generation: snapshot.Generation(), warnings: warnings}
	for _, c := range changes {
		step := Step{reference: c.Reference(), before: snapshot.Get(c.Reference()), after: c.Resource()}
		isSame, err := same(step.before, step.after)
		if err != nil {
			return Plan{}, err
		}
		if !isSame {
			plan.steps = append(plan.steps, step)
		}
	}
	return plan, nil
}

// same reports whether two resources have one encoding.
func same(a, b broption.Option[brconfig.Resource]) (bool, error) {
	before, hasBefore := a.Get()
	after, hasAfter := b.Get()
	if !hasBefore || !hasAfter {
		return hasBefore == hasAfter, nil
	}
	first, err := brdocument.EncodeResource(before)
	if err != nil {
		return false, errors.Errorf("compare resources: %w", err)
	}
	second, err := brdocument.EncodeResource(after)
	if err != nil {
		return false, errors.Errorf("compare resources: %w", err)
	}
	return bytes.Equal(first, second), nil
}
