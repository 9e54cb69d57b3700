package braggregator

import (
	"maps"
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// poisonCases are the poison requests that a VM knows, by fingerprint.
type poisonCases map[brrequest.Fingerprint]brrequest.PoisonCase

func newPoisonCases(cases []brrequest.PoisonCase) poisonCases {
	known := make(poisonCases, len(cases))
	for _, c := range cases {
		known[c.Fingerprint()] = c
	}
	return known
}

// all returns the cases in any order.
func (p poisonCases) all() []brrequest.PoisonCase { return slices.Collect(maps.Values(p)) }

// without returns the cases from which a VM that knows others learns something.
func (p poisonCases) without(known poisonCases) []brrequest.PoisonCase {
	unknown := []brrequest.PoisonCase{}
	for fingerprint, c := range p {
		if other, ok := known[fingerprint]; !ok || !other.Covers(c) {
			unknown = append(unknown, c)
		}
	}
	return unknown
}
