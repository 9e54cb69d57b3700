// Package brarray splits JSON arrays whose elements come from several writers, so that
// one element that can't be decoded does not affect the others.
//
// # Usage
//
//	elements, err := brarray.Split(body)
//	for _, element := range elements {
//		if err := json.Unmarshal(element, &entry); err != nil {
//			continue
//		}
//	}
package brarray

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"
)

// Split returns the elements of a JSON array as they stand in data. Elements may be nested
// more deeply than json.Unmarshal accepts.
func Split(data []byte) ([][]byte, error) {
	tokens := json.NewDecoder(bytes.NewReader(data))
	tokens.UseNumber() // a number of any size is one token
	opening, err := tokens.Token()
	if err != nil {
		return nil, errors.Errorf("read array: %w", err)
	}
	if opening != json.Delim('[') {
		return nil, errors.New("not an array")
	}
	elements := [][]byte{}
	for tokens.More() {
		start := tokens.InputOffset()
		if err := Skip(tokens, 0); err != nil {
			return nil, err
		}
		element := bytes.TrimLeft(data[start:tokens.InputOffset()], ", \t\r\n")
		elements = append(elements, element)
	}
	if _, err := tokens.Token(); err != nil {
		return nil, errors.Errorf("read end of array: %w", err)
	}
	return elements, nil
}

// Skip reads to the end of a value, of which depth arrays and objects are open. With depth
// 0, it reads the next value.
func Skip(tokens *json.Decoder, depth int) error {
	for {
		token, err := tokens.Token()
		if err != nil {
			return errors.Errorf("skip value: %w", err)
		}
		depth += DepthChange(token)
		if depth <= 0 {
			return nil
		}
	}
}

// DepthChange returns by how much a token changes the number of open arrays and objects.
func DepthChange(token json.Token) int {
	switch token {
	case json.Delim('['), json.Delim('{'):
		return 1
	case json.Delim(']'), json.Delim('}'):
		return -1
	default:
		return 0
	}
}
