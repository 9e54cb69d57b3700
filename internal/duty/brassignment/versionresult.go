package brassignment

import "bergamotroad.example/bergamotroad/internal/model/brstatus"

// VersionVerdict is what the end of a request says about the version of its server.
type VersionVerdict int

// The verdicts.
const (
	// VersionUnjudged means that the end of the request says nothing.
	VersionUnjudged VersionVerdict = iota
	// VersionGood means that the server answered well and in time.
	VersionGood
	// VersionBad means that the server failed or answered far too late.
	VersionBad
	// VersionOverdue means that the request ended without a response although the server had
	// it for longer than a response should take.
	VersionOverdue
)

// VersionResult is how the end of a request counts for the version of its server in a
// rollout. It is immutable; the zero value counts for nothing.
type VersionResult struct {
	service string
	version string
	verdict VersionVerdict
}

// NewVersionResult returns the result of a request to a version of a service.
func NewVersionResult(service, version string, verdict VersionVerdict) VersionResult {
	return VersionResult{service: service, version: version, verdict: verdict}
}

// Verdict returns what the end of the request says about the version.
func (v VersionResult) Verdict() VersionVerdict { return v.verdict }

// tally returns the tally of this one request in a rollout to a target version.
func (v VersionResult) tally(target string) brstatus.Tally {
	isTarget := v.version == target
	switch v.verdict {
	case VersionGood:
		return newTally(isTarget, brstatus.NewTally(1, 0, 0, 0), brstatus.NewTally(0, 0, 1, 0))
	case VersionBad:
		return newTally(isTarget, brstatus.NewTally(0, 1, 0, 0), brstatus.NewTally(0, 0, 0, 1))
	case VersionOverdue:
		return newTally(isTarget, brstatus.Tally{}.WithOverdue(1, 0), brstatus.Tally{}.WithOverdue(0, 1))
	default:
		return brstatus.Tally{}
	}
}

func newTally(isTarget bool, ofTarget, ofOld brstatus.Tally) brstatus.Tally {
	if isTarget {
		return ofTarget
	}
	return ofOld
}
