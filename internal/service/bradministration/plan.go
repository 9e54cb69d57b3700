package bradministration

import (
	"bytes"
	"context"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Step is the effect that an operation would have on one resource.
type Step struct {
	reference brconfig.Reference
	before    broption.Option[brconfig.Resource]
	after     broption.Option[brconfig.Resource]
}

// Reference returns the resource.
func (s Step) Reference() brconfig.Reference { return s.reference }

// Before returns the current resource, if it exists.
func (s Step) Before() broption.Option[brconfig.Resource] { return s.before }

// After returns the resulting resource, unless it would be deleted.
func (s Step) After() broption.Option[brconfig.Resource] { return s.after }

// Plan is the result of a dry run of an operation. It is immutable.
type Plan struct {
	generation uint64
	steps      []Step
	warnings   []string
}

// Generation returns the generation that the plan is based on.
func (p Plan) Generation() uint64 { return p.generation }

// Steps returns the effects on the resources that would change. The caller must not
// modify the slice.
func (p Plan) Steps() []Step { return p.steps }

// Warnings returns messages about the change for the operator.
func (p Plan) Warnings() []string { return p.warnings }

// Plan is a dry run: it returns what an operation would change, or an error that
// says why it would be refused.
func (a *Administration) Plan(ctx context.Context, operation Operation) (Plan, error) {
	snapshot, err := a.Snapshot(ctx)
	if err != nil {
		return Plan{}, err
	}
	changes, warnings, err := a.validate(snapshot, operation)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{generation: snapshot.Generation(), warnings: warnings}
	for _, c := range changes {
		step := Step{reference: c.Reference(), before: snapshot.Get(c.Reference()), after: c.Resource()}
		isSame, err := sameResource(step.before, step.after)
		if err != nil {
			return Plan{}, err
		}
		if !isSame {
			plan.steps = append(plan.steps, step)
		}
	}
	return plan, nil
}

// sameResource reports whether two resources have the same encoding or are both absent.
func sameResource(a, b broption.Option[brconfig.Resource]) (bool, error) {
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
