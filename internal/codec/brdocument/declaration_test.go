package brdocument_test

import (
	"bytes"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/model/brdeclaration"
)

// An operator looks for a resource on the line that a message names. Equal resources, blank
// lines and several resources on a line must not shift it, and the document must stay as
// it is.
func TestDeclarationsHaveTheirLines(t *testing.T) {
	const service = `{"kind": "service", "name": "lookup", "labels": {"tier": "1"}}`
	document := []byte("\n[\n  " + service + ",\n\n  " + service + ", " + service + ",\n{\n\"kind\": \"region\", \"name\": \"norte\",\n\"spec\": {\"capacity\": 1}}]\n")
	original := bytes.Clone(document)
	declarations, err := brdocument.Declarations(document)
	require.NoError(t, err)
	require.Equal(t, original, document)
	lines := []int{}
	for _, d := range declarations {
		lines = append(lines, d.Line())
	}
	require.Equal(t, []int{3, 5, 5, 6}, lines)
	require.Equal(t, map[string]string{"labels": `{"tier":"1"}`}, declarations[0].Fields())
	require.Equal(t, map[string]string{"capacity": "1"}, declarations[3].Fields())

	single, err := brdocument.Declarations([]byte("\n" + service))
	require.NoError(t, err)
	require.Len(t, single, 1)
	require.Equal(t, 2, single[0].Line())
}

func TestInvalidDeclarationHasItsLine(t *testing.T) {
	_, err := brdocument.Declarations([]byte("[\n{\"kind\": \"service\", \"name\": \"lookup\"},\n{\"kind\": \"service\"}]"))
	invalid, ok := errors.Into[brdeclaration.ErrInvalid](err)
	require.True(t, ok)
	require.Equal(t, 3, invalid.Line())
}
