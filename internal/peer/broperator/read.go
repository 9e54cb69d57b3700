package broperator

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlabel"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
	"bergamotroad.example/bergamotroad/internal/service/bradministration"
)

const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 1000
)

type listReply struct {
	Generation uint64            `json:"generation"`
	Resources  []json.RawMessage `json:"resources"`
}

func (h *Handler) list(ctx iris.Context) error {
	snapshot, err := h.snapshot(ctx)
	if err != nil {
		return err
	}
	expression, err := labelExpression(ctx)
	if err != nil {
		return err
	}
	reply := listReply{Generation: snapshot.Generation(), Resources: []json.RawMessage{}}
	for resource := range snapshot.All(brconfig.Kind(ctx.Params().Get("kind"))) {
		if !isVisible(requestPrincipal(ctx), resource) || !expression.Matches(resource.Labels()) {
			continue
		}
		data, err := brdocument.EncodeResource(resource)
		if err != nil {
			return err
		}
		reply.Resources = append(reply.Resources, data)
	}
	return ctx.JSON(reply)
}

// snapshot returns the configuration at the generation that the request names, or
// else the current one.
func (h *Handler) snapshot(ctx iris.Context) (*brconfig.Snapshot, error) {
	if !ctx.URLParamExists("generation") {
		return h.administration.Snapshot(ctx.Request().Context())
	}
	generation, err := strconv.ParseUint(ctx.URLParam("generation"), 10, 64)
	if err != nil {
		return nil, badRequest("generation must be a non-negative integer")
	}
	return h.administration.SnapshotAt(ctx.Request().Context(), generation)
}

// isVisible reports whether an operator may read a resource. Keys and tokens hold
// hashes of secrets and are visible only to the team that owns them and to
// operators of the platform.
func isVisible(principal brprincipal.Principal, resource brconfig.Resource) bool {
	if resource.Kind() != brconfig.KindKey && resource.Kind() != brconfig.KindToken {
		return true
	}
	return principal.IsPlatform() || principal.Team() == resource.Team()
}

// labelExpression returns the label expression of the label parameters, each of
// the form name=value or name.
func labelExpression(ctx iris.Context) (brlabel.Expression, error) {
	requirements := []brlabel.Requirement{}
	for _, text := range ctx.Request().URL.Query()["label"] {
		name, value, hasValue := strings.Cut(text, "=")
		if name == "" {
			return brlabel.Expression{}, badRequest("label must have the form name=value or name")
		}
		if hasValue {
			requirements = append(requirements, brlabel.NewRequirement(name, brlabel.OperatorIn, value))
		} else {
			requirements = append(requirements, brlabel.NewRequirement(name, brlabel.OperatorExists))
		}
	}
	return brlabel.NewExpression(requirements...), nil
}

type resourceReply struct {
	Generation uint64          `json:"generation"`
	Resource   json.RawMessage `json:"resource"`
}

func (h *Handler) get(ctx iris.Context) error {
	snapshot, err := h.snapshot(ctx)
	if err != nil {
		return err
	}
	resource, ok := snapshot.Get(resourceReference(ctx)).Get()
	if !ok || !isVisible(requestPrincipal(ctx), resource) {
		return bradministration.NewErrResourceNotExist(resourceReference(ctx))
	}
	data, err := brdocument.EncodeResource(resource)
	if err != nil {
		return err
	}
	ctx.Header("ETag", strconv.Quote(strconv.FormatUint(snapshot.Generation(), 10)))
	return ctx.JSON(resourceReply{Generation: snapshot.Generation(), Resource: data})
}

type entryReply struct {
	Generation uint64    `json:"generation"`
	Operation  string    `json:"operation"`
	Author     string    `json:"author"`
	Team       string    `json:"team,omitempty"`
	Time       time.Time `json:"time"`
	Changed    int       `json:"changed"`
	Resources  []string  `json:"resources"`
}

func newEntryReply(entry brdocument.Entry) entryReply {
	reply := entryReply{
		Generation: entry.Generation(),
		Operation:  entry.Operation(),
		Author:     entry.Author(),
		Team:       entry.Team(),
		Time:       entry.Time(),
		Changed:    entry.Count(),
		Resources:  []string{},
	}
	for _, r := range entry.References() {
		reply.Resources = append(reply.Resources, r.String())
	}
	return reply
}

type historyReply struct {
	Entries []entryReply `json:"entries"`
}

func (h *Handler) history(ctx iris.Context) error {
	before := uint64(max(ctx.URLParamInt64Default("before", 0), 0))
	limit := min(max(ctx.URLParamIntDefault("limit", defaultHistoryLimit), 1), maxHistoryLimit)
	entries, err := h.administration.History(ctx.Request().Context(), before, limit)
	if err != nil {
		return err
	}
	reply := historyReply{Entries: []entryReply{}}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, newEntryReply(e))
	}
	return ctx.JSON(reply)
}

func (h *Handler) operation(ctx iris.Context) error {
	entry, err := h.administration.Operation(ctx.Request().Context(), ctx.Params().Get("id"))
	if err != nil {
		return err
	}
	return ctx.JSON(newEntryReply(entry))
}

type statusReply struct {
	VM         string         `json:"vm"`
	Generation uint64         `json:"generation"`
	Resources  map[string]int `json:"resources"`
}

func (h *Handler) status(ctx iris.Context) error {
	snapshot, err := h.administration.Snapshot(ctx.Request().Context())
	if err != nil {
		return err
	}
	reply := statusReply{VM: h.vm, Generation: snapshot.Generation(), Resources: map[string]int{}}
	for _, kind := range snapshot.Kinds() {
		if count := snapshot.Len(kind); count > 0 {
			reply.Resources[string(kind)] = count
		}
	}
	return ctx.JSON(reply)
}
