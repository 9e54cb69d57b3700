package brbackend

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

// headLine draws a line that may be a field or something close to one.
func headLine() *rapid.Generator[string] {
	return rapid.StringOfN(rapid.SampledFrom([]rune("aZ-: \t\r\x00\x7f")), 0, 6, -1)
}

// Wherever the stream is cut into reads, a head that the checker accepts has only field lines
// whose names are tokens, and the checker ends at the end of the final head.
func TestAcceptedHeadHasOnlyNamesThatAreTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(headLine(), 0, 4).Draw(t, "lines")
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		interim := rapid.Bool().Draw(t, "interim")
		head := "HTTP/1.1 200 OK" + end + strings.Join(append(lines, ""), end) + end
		if interim {
			head = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head
		}
		checker, err := headChecker{}, error(nil)
		for rest := head; rest != "" && err == nil; {
			size := rapid.IntRange(1, len(rest)).Draw(t, "size")
			err = checker.check([]byte(rest[:size]))
			rest = rest[size:]
		}
		if err != nil {
			return
		}
		require.Equal(t, partBody, checker.part)
		require.NoError(t, checker.check([]byte(" body: \x00")))
		for _, line := range lines {
			line = strings.TrimSuffix(line, "\r")
			if line == "" {
				return // the rest belongs to the body
			}
			name, _, ok := strings.Cut(line, ":")
			require.True(t, ok && name != "" && !strings.ContainsAny(name, " \t\r\x00\x7f"), "%q", line)
		}
	})
}

// HTTP/1.0 has no transfer codings, whatever the case of the field's name.
func TestTransferCodingIsRefusedInHTTP10(t *testing.T) {
	for name, refused := range map[string]bool{
		"Transfer-Encoding": true, "transfer-encoding": true, "TRANSFER-ENCODING": true,
		"Transfer-Encodin": false, "Transfer-Encodings": false, "X-Transfer-Encoding": false,
	} {
		for minor, known := range map[string]bool{"0": refused, "1": false} {
			checker := headChecker{}
			err := checker.check([]byte("HTTP/1." + minor + " 200 OK\r\nServer: a\r\n" + name + ": chunked\r\n\r\n"))
			require.Equal(t, known, err != nil, "%s in HTTP/1.%s: %v", name, minor, err)
		}
	}
}

// A head that is short in bytes may take a lot of memory once it is parsed.
func TestFieldsOfHeadAreBounded(t *testing.T) {
	for fields, accepted := range map[int]bool{1: true, maxFields: true, maxFields + 1: false} {
		checker := headChecker{}
		err := checker.check([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"))
		require.Equal(t, accepted, err == nil, "%d fields: %v", fields, err)
	}
}

// What net/http's server writes is accepted.
func TestHeadsOfSoundServersAreAccepted(t *testing.T) {
	header := http.Header{"X-Empty": {""}, "Set-Cookie": {"a=b; c", "d: e"}, "X-Tab": {"\ta\tb"}, "X-!#$%&'*+.^_`|~9": {"ö"}}
	text := strings.Builder{}
	require.NoError(t, header.Write(&text))
	checker := headChecker{}
	for range 2 {
		require.NoError(t, checker.check([]byte("HTTP/1.1 204 No Content\r\n"+text.String()+"\r\n")))
		require.Equal(t, partBody, checker.part)
		checker.expectHead()
	}
}
