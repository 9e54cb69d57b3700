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

// decoder decodes one JSON value into object, []any, string, json.Number, bool and nil.
// It reports the paths of duplicate names, which encoding/json accepts silently.
type decoder struct {
	tokens *json.Decoder
	errs   *errorList
}

func decodeJSON(data []byte, errs *errorList) (any, error) {
	if len(data) > maxFileBytes {
		return nil, errors.Errorf("file is larger than %d bytes", maxFileBytes)
	}
	d := &decoder{tokens: json.NewDecoder(bytes.NewReader(data)), errs: errs}
	d.tokens.UseNumber()
	value, err := d.value("", maxDepth)
	if err != nil {
		return nil, errors.Errorf("decode JSON at byte %d: %w", d.tokens.InputOffset(), err)
	}
	if _, err := d.tokens.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value")
	}
	return value, nil
}

func (d *decoder) value(path string, depth int) (any, error) {
	if depth == 0 {
		return nil, errTooDeep
	}
	token, err := d.tokens.Token()
	if err != nil {
		return nil, errors.Errorf("read token: %w", err)
	}
	switch token {
	case json.Delim('{'):
		return d.object(path, depth-1)
	case json.Delim('['):
		return d.list(path, depth-1)
	default:
		return token, nil
	}
}

func (d *decoder) object(path string, depth int) (any, error) {
	fields := object{}
	for d.tokens.More() {
		token, err := d.tokens.Token()
		if err != nil {
			return nil, errors.Errorf("read name: %w", err)
		}
		name, _ := token.(string)
		fieldPath := join(path, name)
		if _, isDuplicate := fields[name]; isDuplicate {
			d.errs.add(fieldPath, "is duplicated")
		}
		value, err := d.value(fieldPath, depth)
		if err != nil {
			return nil, err
		}
		fields[name] = value
	}
	return fields, d.end()
}

func (d *decoder) list(path string, depth int) (any, error) {
	items := []any{}
	for d.tokens.More() {
		item, err := d.value(fmt.Sprintf("%s[%d]", path, len(items)), depth)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, d.end()
}

// end reads the delimiter that closes an object or list.
func (d *decoder) end() error {
	if _, err := d.tokens.Token(); err != nil {
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
