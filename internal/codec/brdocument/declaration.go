package brdocument

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brdeclaration"
)

// Declarations returns the resources of a JSON resource or an array of resources, with their
// lines and the fields of their specs. It returns brdeclaration.ErrInvalid for a resource
// that DecodeResources would not accept.
func Declarations(data []byte) ([]brdeclaration.Declaration, error) {
	var items []json.RawMessage
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		items = append(items, data)
	} else if err := json.Unmarshal(data, &items); err != nil {
		return nil, errors.Errorf("decode array of resources: %w", err)
	}
	declarations := make([]brdeclaration.Declaration, 0, len(items))
	offset := 0
	for _, item := range items {
		item = bytes.TrimSpace(item)
		// Resources are copied byte for byte, in the order of the document.
		offset += max(bytes.Index(data[offset:], item), 0)
		line := brdeclaration.Line(data, offset)
		declaration, err := declare(item, line)
		if err != nil {
			return nil, brdeclaration.NewErrInvalid(line, err)
		}
		declarations = append(declarations, declaration)
		offset += len(item)
	}
	return declarations, nil
}

func declare(item []byte, line int) (brdeclaration.Declaration, error) {
	if _, err := decodeResource(item); err != nil {
		return brdeclaration.Declaration{}, err
	}
	document := resourceDocument{}
	if err := json.Unmarshal(item, &document); err != nil {
		return brdeclaration.Declaration{}, errors.Errorf("decode resource: %w", err)
	}
	declaration := brdeclaration.New(document.Kind, document.Name, line)
	fields := map[string]any{}
	if len(document.Spec) > 0 {
		if err := json.Unmarshal(document.Spec, &fields); err != nil {
			return declaration, errors.Errorf("decode spec of %s %q: %w", document.Kind, document.Name, err)
		}
	}
	if document.Team != "" {
		fields["team"] = document.Team
	}
	if len(document.Labels) > 0 {
		fields["labels"] = document.Labels
	}
	for name, value := range fields {
		text, err := json.Marshal(value)
		if err != nil {
			return declaration, errors.Errorf("encode %s of %s %q: %w", name, document.Kind, document.Name, err)
		}
		declaration = declaration.WithField(name, string(text))
	}
	return declaration, nil
}
