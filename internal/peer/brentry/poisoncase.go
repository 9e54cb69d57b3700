package brentry

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

const (
	// maxCases bounds the poison requests that are taken from one message.
	maxCases = 256
	// maxCaseServers bounds the servers that are taken for one of them.
	maxCaseServers = 8
	// maxCaseMilliseconds bounds the time for which another VM's case is kept.
	maxCaseMilliseconds = uint32(time.Hour / time.Millisecond)
)

// encodeCases encodes cases with the time that remains for them: the clocks of VMs differ.
func encodeCases(now time.Time, cases []brrequest.PoisonCase) []*brentrypb.PoisonCase {
	messages := make([]*brentrypb.PoisonCase, 0, len(cases))
	for _, c := range cases {
		fingerprint := c.Fingerprint()
		messages = append(messages, &brentrypb.PoisonCase{
			Fingerprint:           fingerprint[:],
			Servers:               c.Servers(),
			RemainingMilliseconds: uint32(max(c.End().Sub(now).Milliseconds(), 0)),
		})
	}
	return messages
}

// decodeCases returns the cases of a message. Those with an odd fingerprint or too many
// servers are dropped.
func decodeCases(now time.Time, messages []*brentrypb.PoisonCase) []brrequest.PoisonCase {
	cases := []brrequest.PoisonCase{}
	for _, m := range messages[:min(len(messages), maxCases)] {
		fingerprint := brrequest.Fingerprint{}
		if len(m.GetFingerprint()) != len(fingerprint) || len(m.GetServers()) > maxCaseServers {
			continue
		}
		copy(fingerprint[:], m.GetFingerprint())
		end := now.Add(time.Duration(min(m.GetRemainingMilliseconds(), maxCaseMilliseconds)) * time.Millisecond)
		if len(m.GetServers()) == 0 {
			cases = append(cases, brrequest.NewRefusedCase(fingerprint, end))
			continue
		}
		cases = append(cases, brrequest.NewSuspectCase(fingerprint, m.GetServers(), end))
	}
	return cases
}
