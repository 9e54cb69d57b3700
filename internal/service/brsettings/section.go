package brsettings

import (
	"encoding/json"
	"fmt"
	"time"
)

// reader collects the validation errors of a file and the paths of all settings that
// are read.
type reader struct {
	errs  errorList
	paths []string
}

// section reads the fields of one JSON object. Each known field is read once; finish
// reports the fields that were not read as unknown.
type section struct {
	reader *reader
	path   string
	fields object
	read   map[string]bool
}

func (r *reader) section(path string, value any) *section {
	fields, ok := value.(object)
	if !ok && value != nil {
		r.errs.add(pathOrFile(path), "must be an object")
	}
	return &section{reader: r, path: path, fields: fields, read: map[string]bool{}}
}

func pathOrFile(path string) string {
	if path == "" {
		return "file"
	}
	return path
}

func (s *section) addError(name, message string) {
	s.reader.errs.add(join(s.path, name), message)
}

func (s *section) has(name string) bool {
	_, ok := s.fields[name]
	return ok
}

func (s *section) take(name string) (any, bool) {
	s.read[name] = true
	value, ok := s.fields[name]
	return value, ok
}

// leaf returns a value that is not an object and records its path.
func (s *section) leaf(name string) (any, bool) {
	s.reader.paths = append(s.reader.paths, join(s.path, name))
	return s.take(name)
}

// section returns a nested object. If it is missing, it is treated as empty, so that
// its required fields are reported.
func (s *section) section(name string) *section {
	value, ok := s.take(name)
	if ok && value == nil {
		s.addError(name, "must be an object")
	}
	return s.reader.section(join(s.path, name), value)
}

// text returns a required string.
func (s *section) text(name string) string {
	value, ok := s.leaf(name)
	if !ok {
		s.addError(name, "is missing")
		return ""
	}
	text, ok := value.(string)
	if !ok {
		s.addError(name, "must be a string")
		return ""
	}
	if text == "" {
		s.addError(name, "must not be empty")
	}
	return text
}

// textOr returns a string, or the default if it is missing.
func (s *section) textOr(name, defaultValue string) string {
	if !s.has(name) {
		_, _ = s.leaf(name)
		return defaultValue
	}
	return s.text(name)
}

// flag returns a boolean, or false if it is missing.
func (s *section) flag(name string) bool {
	value, ok := s.leaf(name)
	if !ok {
		return false
	}
	flag, ok := value.(bool)
	if !ok {
		s.addError(name, "must be true or false")
	}
	return flag
}

// number returns an integer within a range, or the default if it is missing or invalid.
func (s *section) number(name string, defaultValue, minimum, maximum int64) int64 {
	value, ok := s.leaf(name)
	if !ok {
		return defaultValue
	}
	number, ok := value.(json.Number)
	if !ok {
		s.addError(name, "must be a number")
		return defaultValue
	}
	integer, err := number.Int64()
	if err != nil || integer < minimum || integer > maximum {
		s.addError(name, fmt.Sprintf("must be an integer from %d to %d", minimum, maximum))
		return defaultValue
	}
	return integer
}

// duration returns a duration within a range, or the default if it is missing or
// invalid.
func (s *section) duration(name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	if !s.has(name) {
		_, _ = s.leaf(name)
		return defaultValue
	}
	text := s.text(name)
	if text == "" {
		return defaultValue
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < minimum || duration > maximum {
		s.addError(name, fmt.Sprintf("must be a duration from %v to %v", minimum, maximum))
		return defaultValue
	}
	return duration
}

// finish reports the fields that were not read as unknown.
func (s *section) finish() {
	for name := range s.fields {
		if !s.read[name] {
			s.addError(name, "is unknown")
		}
	}
}
