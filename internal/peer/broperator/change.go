package broperator

import (
	"encoding/json"
	"strconv"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/service/bradministration"
)

type changeReply struct {
	Generation uint64   `json:"generation"`
	Operation  string   `json:"operation"`
	Repeated   bool     `json:"repeated,omitempty"`
	Warnings   []string `json:"warnings,omitempty"`
}

func (h *Handler) apply(ctx iris.Context) error {
	body, edit, err := h.applyEdit(ctx)
	if err != nil {
		return err
	}
	return h.change(ctx, body, edit)
}

// applyEdit returns the body of an apply or plan request, and the edit that puts
// the resources of the body or restores those of the generation named by from.
func (h *Handler) applyEdit(ctx iris.Context) ([]byte, bradministration.Edit, error) {
	body, err := readBody(ctx)
	if err != nil {
		return nil, nil, err
	}
	if ctx.URLParamExists("from") {
		generation, err := strconv.ParseUint(ctx.URLParam("from"), 10, 64)
		if err != nil || len(body) > 0 {
			return nil, nil, badRequest("from must be a generation number, and the body must be empty")
		}
		snapshot, err := h.administration.SnapshotAt(ctx.Request().Context(), generation)
		if err != nil {
			return nil, nil, err
		}
		return body, bradministration.RestoreEdit(snapshot), nil
	}
	resources, err := brdocument.DecodeResources(body)
	if err != nil {
		return nil, nil, badRequest(err.Error())
	}
	changes := make([]brconfig.Change, 0, len(resources))
	for _, r := range resources {
		changes = append(changes, brconfig.Put(r))
	}
	return body, bradministration.FixedEdit(changes), nil
}

func (h *Handler) delete(ctx iris.Context) error {
	return h.change(ctx, nil, bradministration.DeleteEdit(resourceReference(ctx)))
}

type labelsRequest struct {
	Set    map[string]string `json:"set"`
	Remove []string          `json:"remove"`
}

func (h *Handler) label(ctx iris.Context) error {
	body, err := readBody(ctx)
	if err != nil {
		return err
	}
	var request labelsRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return badRequest("body must be a JSON object with the members set and remove: " + err.Error())
	}
	return h.change(ctx, body, bradministration.LabelEdit(resourceReference(ctx), request.Set, request.Remove))
}

func (h *Handler) change(ctx iris.Context, body []byte, edit bradministration.Edit) error {
	operation, err := newOperation(ctx, body, edit)
	if err != nil {
		return err
	}
	outcome, err := h.administration.Apply(ctx.Request().Context(), operation)
	if err != nil {
		return withOperation(operation, err)
	}
	return ctx.JSON(changeReply{
		Generation: outcome.Generation(),
		Operation:  outcome.Operation(),
		Repeated:   outcome.Repeated(),
		Warnings:   outcome.Warnings(),
	})
}

func resourceReference(ctx iris.Context) brconfig.Reference {
	return brconfig.NewReference(brconfig.Kind(ctx.Params().Get("kind")), ctx.Params().Get("name"))
}

type planReply struct {
	Generation uint64      `json:"generation"`
	Steps      []stepReply `json:"steps"`
	Warnings   []string    `json:"warnings,omitempty"`
}

type stepReply struct {
	Action string          `json:"action"`
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func (h *Handler) plan(ctx iris.Context) error {
	body, edit, err := h.applyEdit(ctx)
	if err != nil {
		return err
	}
	operation, err := newOperation(ctx, body, edit)
	if err != nil {
		return err
	}
	plan, err := h.administration.Plan(ctx.Request().Context(), operation)
	if err != nil {
		return err
	}
	reply := planReply{Generation: plan.Generation(), Steps: []stepReply{}, Warnings: plan.Warnings()}
	for _, s := range plan.Steps() {
		step, err := newStepReply(s)
		if err != nil {
			return err
		}
		reply.Steps = append(reply.Steps, step)
	}
	return ctx.JSON(reply)
}

func newStepReply(step bradministration.Step) (stepReply, error) {
	reply := stepReply{Action: "change", Kind: string(step.Reference().Kind()), Name: step.Reference().Name()}
	before, hadBefore := step.Before().Get()
	after, hasAfter := step.After().Get()
	var err error
	if hadBefore {
		if reply.Before, err = brdocument.EncodeResource(before); err != nil {
			return reply, err
		}
	} else {
		reply.Action = "create"
	}
	if hasAfter {
		if reply.After, err = brdocument.EncodeResource(after); err != nil {
			return reply, err
		}
	} else {
		reply.Action = "delete"
	}
	return reply, nil
}
