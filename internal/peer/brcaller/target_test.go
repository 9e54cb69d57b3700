package brcaller

import (
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAmbiguousPathsAreDetected(t *testing.T) {
	for _, text := range []string{"/a/../b", "/a/./b", "/a//b", "/a/..", "/a/%2e%2e/b", "/a%2fb", "/a%2Fb", "/a%5cb", "/a%00", "/a//", "//a/b", "/%2e"} {
		target, err := url.ParseRequestURI(text)
		require.NoError(t, err)
		require.True(t, isAmbiguous(target), text)
	}
	for _, text := range []string{"/", "/a", "/a/", "/a.b/..c", "/a%20b", "/%C3%A1?x=%2f..", "/a%3Fb"} {
		target, err := url.ParseRequestURI(text)
		require.NoError(t, err)
		require.False(t, isAmbiguous(target), text)
	}
}

func FuzzIsAmbiguous(f *testing.F) {
	f.Add("/a/%2e%2e/b")
	f.Fuzz(func(t *testing.T, text string) {
		target, err := url.ParseRequestURI(text)
		if err != nil || target.Host != "" || isAmbiguous(target) {
			return
		}
		for segment := range strings.SplitSeq(target.Path, "/") {
			require.NotContains(t, []string{".", ".."}, segment)
		}
	})
}
