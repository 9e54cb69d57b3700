package brcommand

import (
	"bytes"
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

// stdinPath stands for the standard input in a list of paths.
const stdinPath = "-"

// readDocuments reads resources from files, from all .json files below directories
// in lexical order, and from the standard input for "-".
func readDocuments(paths []string, input io.Reader) ([]json.RawMessage, error) {
	documents := []json.RawMessage{}
	for _, path := range paths {
		files, err := jsonFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			found, err := readDocument(file, input)
			if err != nil {
				return nil, errors.Errorf("read resources of %s: %w", file, err)
			}
			documents = append(documents, found...)
		}
	}
	return documents, nil
}

func jsonFiles(path string) ([]string, error) {
	if path == stdinPath {
		return []string{path}, nil
	}
	files := []string{}
	err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && (file == path || filepath.Ext(file) == ".json") {
			files = append(files, file)
		}
		return nil
	})
	if err != nil {
		return nil, errors.Errorf("find resources: %w", err)
	}
	return files, nil
}

func readDocument(file string, input io.Reader) ([]json.RawMessage, error) {
	data, err := readAll(file, input)
	if err != nil {
		return nil, err
	}
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		if !json.Valid(data) {
			return nil, errors.New("not a JSON document")
		}
		return []json.RawMessage{data}, nil
	}
	var documents []json.RawMessage
	if err := json.Unmarshal(data, &documents); err != nil {
		return nil, errors.Errorf("decode array: %w", err)
	}
	return documents, nil
}

func readAll(file string, input io.Reader) ([]byte, error) {
	if file == stdinPath {
		return io.ReadAll(input)
	}
	return os.ReadFile(file)
}
