package broperator

import (
	"regexp"
	"strings"

	"github.com/kataras/iris/v12"
)

const openAPIPath = "/v1/openapi.json"

type openAPIDocument struct {
	OpenAPI    string                                 `json:"openapi"`
	Info       openAPIInfo                            `json:"info"`
	Paths      map[string]map[string]openAPIOperation `json:"paths"`
	Components openAPIComponents                      `json:"components"`
}

type openAPIInfo struct {
	Title   string `json:"title"`
	Version string `json:"version"`
}

type openAPIOperation struct {
	Summary     string                     `json:"summary"`
	Parameters  []openAPIParameter         `json:"parameters,omitempty"`
	RequestBody *openAPIBody               `json:"requestBody,omitempty"`
	Responses   map[string]openAPIResponse `json:"responses"`
	Security    []map[string][]string      `json:"security"`
}

type openAPIParameter struct {
	Name        string         `json:"name"`
	In          string         `json:"in"`
	Description string         `json:"description,omitempty"`
	Required    bool           `json:"required,omitempty"`
	Schema      map[string]any `json:"schema"`
}

type openAPIBody struct {
	Description string                  `json:"description"`
	Content     map[string]openAPIMedia `json:"content"`
}

type openAPIMedia struct {
	Schema map[string]any `json:"schema"`
}

type openAPIResponse struct {
	Description string                  `json:"description"`
	Content     map[string]openAPIMedia `json:"content,omitempty"`
}

type openAPIComponents struct {
	Schemas         map[string]map[string]any `json:"schemas"`
	SecuritySchemes map[string]map[string]any `json:"securitySchemes"`
}

var pathParameter = regexp.MustCompile(`\{(\w+)\}`)

func (h *Handler) openAPI(ctx iris.Context) {
	_ = ctx.JSON(newOpenAPIDocument(h.routes))
}

// newOpenAPIDocument returns the OpenAPI document for routes.
func newOpenAPIDocument(routes []route) openAPIDocument {
	paths := map[string]map[string]openAPIOperation{}
	for _, r := range routes {
		if paths[r.path] == nil {
			paths[r.path] = map[string]openAPIOperation{}
		}
		paths[r.path][strings.ToLower(r.method)] = newOpenAPIOperation(r)
	}
	return openAPIDocument{
		OpenAPI: "3.1.0",
		Info:    openAPIInfo{Title: "bergamotroad administration", Version: "1"},
		Paths:   paths,
		Components: openAPIComponents{
			Schemas:         map[string]map[string]any{"error": errorSchema()},
			SecuritySchemes: map[string]map[string]any{"token": {"type": "http", "scheme": "bearer"}},
		},
	}
}

func newOpenAPIOperation(r route) openAPIOperation {
	operation := openAPIOperation{
		Summary: r.summary,
		Responses: map[string]openAPIResponse{
			"200":     {Description: "done", Content: jsonContent(map[string]any{"type": "object"})},
			"default": {Description: "refused, or outcome unknown", Content: jsonContent(map[string]any{"$ref": "#/components/schemas/error"})},
		},
		Security: []map[string][]string{{"token": {}}},
	}
	for _, match := range pathParameter.FindAllStringSubmatch(r.path, -1) {
		operation.Parameters = append(operation.Parameters, stringParameter(match[1], "path", "", true))
	}
	for _, p := range r.parameters {
		operation.Parameters = append(operation.Parameters, stringParameter(p.name, "query", p.summary, false))
	}
	if r.isChange {
		operation.Parameters = append(operation.Parameters,
			stringParameter(headerIdempotencyKey, "header", "an identifier of the change; a repeated request with the same identifier is applied only once", false),
			stringParameter(headerIfMatch, "header", "a generation; the change is refused if one of its resources has changed since", false))
	}
	if r.body != "" {
		operation.RequestBody = &openAPIBody{Description: r.body, Content: jsonContent(map[string]any{})}
	}
	return operation
}

func stringParameter(name, in, description string, required bool) openAPIParameter {
	return openAPIParameter{Name: name, In: in, Description: description, Required: required, Schema: map[string]any{"type": "string"}}
}

func jsonContent(schema map[string]any) map[string]openAPIMedia {
	return map[string]openAPIMedia{"application/json": {Schema: schema}}
}

func errorSchema() map[string]any {
	text := map[string]any{"type": "string"}
	fieldError := map[string]any{"type": "object", "properties": map[string]any{"path": text, "message": text}}
	return map[string]any{
		"type":     "object",
		"required": []string{"code", "error"},
		"properties": map[string]any{
			"code":       text,
			"error":      text,
			"operation":  text,
			"generation": map[string]any{"type": "integer"},
			"faults":     map[string]any{"type": "array", "items": fieldError},
			"first":      map[string]any{"type": "object"},
		},
	}
}
