package brentry

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brmeter"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// encodeUsage encodes usage. The name of an organisation is sent once, although many VMs have
// counts of it.
func encodeUsage(usage brmeter.Usage) *brentrypb.UsageMessage {
	if usage.Run() == "" {
		return nil
	}
	message := &brentrypb.UsageMessage{
		Run:               usage.Run(),
		OwnMilliseconds:   encodeTime(usage.OwnTime()),
		FleetMilliseconds: encodeTime(usage.FleetTime()),
	}
	positions := map[string]uint32{}
	for _, c := range usage.Counts() {
		counts := &brentrypb.UsageCounts{Vm: c.VM(), Run: c.Run(), Window: c.Window(), Closed: c.Closed()}
		for organisation, count := range c.Counts() {
			position, ok := positions[organisation]
			if !ok {
				position = uint32(len(message.Organisations))
				positions[organisation] = position
				message.Organisations = append(message.Organisations, organisation)
			}
			counts.Organisations = append(counts.Organisations, position)
			counts.Counts = append(counts.Counts, count)
		}
		message.Counts = append(message.Counts, counts)
	}
	return message
}

// decodeUsage decodes usage. Counts that refer to no organisation are dropped.
func decodeUsage(message *brentrypb.UsageMessage) brmeter.Usage {
	if message == nil {
		return brmeter.Usage{}
	}
	names := message.GetOrganisations()
	list := make([]brmeter.Counts, 0, len(message.GetCounts()))
	for _, c := range message.GetCounts() {
		counts := make(map[string]uint64, len(c.GetCounts()))
		for i, count := range c.GetCounts() {
			if i >= len(c.GetOrganisations()) || int(c.GetOrganisations()[i]) >= len(names) {
				break
			}
			counts[names[c.GetOrganisations()[i]]] = count
		}
		list = append(list, brmeter.NewCounts(c.GetVm(), c.GetRun(), c.GetWindow(), c.GetClosed(), counts))
	}
	return brmeter.NewUsage(message.GetRun(), list).
		WithTimes(decodeTime(message.GetOwnMilliseconds()), decodeTime(message.GetFleetMilliseconds()))
}

// encodeTime encodes the zero time as 0.
func encodeTime(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func decodeTime(milliseconds int64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}
