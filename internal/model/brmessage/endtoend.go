package brmessage

import (
	"slices"
	"strings"

	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// OwnPrefix begins the names of the fields by which the system itself speaks.
const OwnPrefix = "Bergamotroad-"

// hopByHop are the fields that concern one connection only (RFC 9110, section
// 7.6.1), in lower case.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-connection", "proxy-authenticate",
	"proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
}

// EndToEnd returns a copy of the fields that are passed on: neither those of one
// connection nor those by which the system itself speaks, which nobody else can
// set. Names must be canonical.
func EndToEnd(values map[string][]string) Fields {
	dropped := brset.New(hopByHop...)
	for _, list := range values["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			dropped.Add(strings.ToLower(strings.TrimSpace(name)))
		}
	}
	kept := make(map[string][]string, len(values))
	for name, list := range values {
		if !dropped.Has(strings.ToLower(name)) && !strings.HasPrefix(name, OwnPrefix) {
			kept[name] = slices.Clone(list)
		}
	}
	return NewFields(kept)
}
