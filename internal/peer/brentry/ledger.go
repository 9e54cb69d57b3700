package brentry

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

func encodeLedger(ledger brstatus.Ledger) []*brentrypb.RolloutMessage {
	messages := make([]*brentrypb.RolloutMessage, 0, len(ledger))
	for revision, tallies := range ledger {
		message := &brentrypb.RolloutMessage{Revision: uint64(revision)}
		for reporter, t := range tallies {
			message.Reporters = append(message.Reporters, uint64(reporter))
			message.TargetGood = append(message.TargetGood, t.TargetGood())
			message.TargetBad = append(message.TargetBad, t.TargetBad())
			message.TargetOverdue = append(message.TargetOverdue, t.TargetOverdue())
			message.OldGood = append(message.OldGood, t.OldGood())
			message.OldBad = append(message.OldBad, t.OldBad())
			message.OldOverdue = append(message.OldOverdue, t.OldOverdue())
			message.AgeMilliseconds = max(message.AgeMilliseconds, uint32(max(t.Age().Milliseconds(), 0)))
		}
		messages = append(messages, message)
	}
	return messages
}

// decodeLedger returns the counts of rollouts. A message whose lists differ in length says
// nothing.
func decodeLedger(messages []*brentrypb.RolloutMessage) brstatus.Ledger {
	ledger := make(brstatus.Ledger, len(messages))
	for _, m := range messages {
		if !isEvenLedger(m) {
			continue
		}
		age := time.Duration(m.GetAgeMilliseconds()) * time.Millisecond
		tallies := make(map[brstatus.Reporter]brstatus.Tally, len(m.GetReporters()))
		for i, reporter := range m.GetReporters() {
			tallies[brstatus.Reporter(reporter)] = brstatus.NewTally(m.GetTargetGood()[i], m.GetTargetBad()[i], m.GetOldGood()[i], m.GetOldBad()[i]).
				WithOverdue(m.GetTargetOverdue()[i], m.GetOldOverdue()[i]).
				WithAge(age)
		}
		ledger[brrecord.Revision(m.GetRevision())] = tallies
	}
	return ledger
}

// isEvenLedger reports whether all lists of a message have the same length.
func isEvenLedger(m *brentrypb.RolloutMessage) bool {
	count := len(m.GetReporters())
	for _, counts := range [][]uint64{m.GetTargetGood(), m.GetTargetBad(), m.GetTargetOverdue(), m.GetOldGood(), m.GetOldBad(), m.GetOldOverdue()} {
		if len(counts) != count {
			return false
		}
	}
	return true
}
