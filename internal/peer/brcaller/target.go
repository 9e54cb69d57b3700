package brcaller

import (
	"net/url"
	"path"
	"strings"
)

// isAmbiguous reports whether the router and a server could interpret a path
// differently. Such paths contain dot segments, empty segments, backslashes,
// control characters or encoded slashes.
func isAmbiguous(target *url.URL) bool {
	decoded := target.Path
	if strings.ContainsFunc(decoded, isUnsafe) {
		return true
	}
	encoded := strings.ToLower(target.EscapedPath())
	if strings.Contains(encoded, "%2f") {
		return true
	}
	return strings.TrimSuffix(decoded, "/") != strings.TrimSuffix(path.Clean("/"+decoded), "/") || strings.HasSuffix(decoded, "//")
}

func isUnsafe(r rune) bool {
	return r < ' ' || r == 0x7f || r == '\\'
}
