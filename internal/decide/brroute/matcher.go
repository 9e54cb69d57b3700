// Package brroute decides which route applies to a request.
//
// The route with the longest matching path prefix wins. Among routes with the same
// prefix, a route that lists the request's method takes precedence over one that
// accepts all methods.
//
// # Usage
//
//	matcher := brroute.NewMatcher(snapshot)
//	route, ok := matcher.Match("GET", "/cylinders/7").Get()
package brroute

import (
	"cmp"
	"slices"
	"strings"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

// Matcher finds the route of a request. It is immutable.
type Matcher struct {
	routes []brconfig.Route
}

// NewMatcher returns a matcher for the routes of a snapshot.
func NewMatcher(snapshot *brconfig.Snapshot) *Matcher {
	routes := slices.Collect(snapshot.Routes().All())
	slices.SortStableFunc(routes, func(a, b brconfig.Route) int {
		if c := cmp.Compare(len(b.PathPrefix()), len(a.PathPrefix())); c != 0 {
			return c
		}
		return cmp.Compare(len(b.Methods()), len(a.Methods()))
	})
	return &Matcher{routes: routes}
}

// Match returns the route that applies to a request, if any.
func (m *Matcher) Match(method, path string) broption.Option[brconfig.Route] {
	for _, r := range m.routes {
		if matchesPrefix(r.PathPrefix(), path) && matchesMethod(r.Methods(), method) {
			return broption.Some(r)
		}
	}
	return broption.None[brconfig.Route]()
}

// matchesPrefix reports whether path starts with prefix, at a segment boundary.
func matchesPrefix(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

func matchesMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}
