package brmessage

import (
	"slices"
	"strings"

	"bergamotroad.example/bergamotroad/internal/core/brset"
)

// ReservedPrefix is the prefix of the header fields that the system itself sets.
const ReservedPrefix = "Bergamotroad-"

// hopByHop lists the hop-by-hop header fields (RFC 9110, section 7.6.1) in lower case.
var hopByHop = []string{
	"connection", "keep-alive", "proxy-connection", "proxy-authenticate",
	"proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
}

// EndToEnd returns a copy of the fields to forward. It removes the hop-by-hop
// fields, including those named by Connection, and the fields that begin with
// ReservedPrefix, which only the system itself may set. Names must be canonical.
func EndToEnd(values map[string][]string) Fields {
	dropped := brset.New(hopByHop...)
	for _, list := range values["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			dropped.Add(strings.ToLower(strings.TrimSpace(name)))
		}
	}
	kept := make(map[string][]string, len(values))
	for name, list := range values {
		if !dropped.Has(strings.ToLower(name)) && !strings.HasPrefix(name, ReservedPrefix) {
			kept[name] = slices.Clone(list)
		}
	}
	return NewFields(kept)
}
