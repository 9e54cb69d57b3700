package brsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
)

const (
	maxFileBytes = 1 << 20
	maxDepth     = 16 // levels of nesting
)

// errTooDeep is returned for a file that nests deeper than any setting does, which
// bounds the recursion.
var errTooDeep = errors.New("JSON is nested too deeply")

// object is a decoded JSON object.
type object map[string]any

// tree decodes one JSON value into object, []any, string, json.Number, bool and nil.
// It reports the paths of duplicate names, which encoding/json accepts silently.
type tree struct {
	decoder *json.Decoder
	faults  *faults
}

func parseTree(data []byte, found *faults) (any, error) {
	if len(data) > maxFileBytes {
		return nil, errors.Errorf("file is larger than %d bytes", maxFileBytes)
	}
	t := &tree{decoder: json.NewDecoder(bytes.NewReader(data)), faults: found}
	t.decoder.UseNumber()
	value, err := t.value("", maxDepth)
	if err != nil {
		return nil, errors.Errorf("decode JSON at byte %d: %w", t.decoder.InputOffset(), err)
	}
	if _, err := t.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value")
	}
	return value, nil
}

func (t *tree) value(path string, depth int) (any, error) {
	if depth == 0 {
		return nil, errTooDeep
	}
	token, err := t.decoder.Token()
	if err != nil {
		return nil, errors.Errorf("read token: %w", err)
	}
	switch token {
	case json.Delim('{'):
		return t.object(path, depth-1)
	case json.Delim('['):
		return t.list(path, depth-1)
	default:
		return token, nil
	}
}

func (t *tree) object(path string, depth int) (any, error) {
	fields := object{}
	for t.decoder.More() {
		token, err := t.decoder.Token()
		if err != nil {
			return nil, errors.Errorf("read name: %w", err)
		}
		name, _ := token.(string)
		inner := join(path, name)
		if _, twice := fields[name]; twice {
			t.faults.add(inner, "is duplicated")
		}
		value, err := t.value(inner, depth)
		if err != nil {
			return nil, err
		}
		fields[name] = value
	}
	return fields, t.end()
}

func (t *tree) list(path string, depth int) (any, error) {
	items := []any{}
	for t.decoder.More() {
		item, err := t.value(fmt.Sprintf("%s[%d]", path, len(items)), depth)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, t.end()
}

// end reads the delimiter that closes an object or list.
func (t *tree) end() error {
	if _, err := t.decoder.Token(); err != nil {
		return errors.Errorf("read closing delimiter: %w", err)
	}
	return nil
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
