package brcapacity

const (
	benchmarkDomains = 4      // failure domains in the benchmark of configuration distribution
	headerBytes      = 500    // bytes per exchange
	longPollPeriod   = 1.5    // seconds
	deltaBytesLimit  = 4      // MB
	timelineEvents   = 16_384 // events
	pollersPerDomain = 2      // VMs per failure domain
	maxMeasuredVMs   = 60     // VMs in the largest measured fleet
)

// Follower returns the lines of a VM that receives configuration changes from
// another VM.
func (m *Model) Follower() []Line {
	const role = "configuration follower"
	benchmarkVMs := float64(targetVMs) / targetDomains * benchmarkDomains
	return []Line{
		NewLine(role, resourceMessages, "KB/s").WithMechanism("long poll of 1.5 s at one source").
			AddScaled(kiloPerByte, m.costAt(slopeIdleBytes, benchmarkVMs)).
			AddScaled(kiloPerByte, rateOf("long polls", longPollPeriod), Estimated("headers per exchange", headerBytes, "B")),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("encoded deltas, one per generation").
			AddScaled(kiloPerByte, changesPerSecond(), m.costAt(slopeChangeBytes, benchmarkVMs)),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("ticks of the duties, long polls and all other work of an idle VM").
			Add(m.costAt(slopeProcessIdle, maxMeasuredVMs)).
			WithPlanned(NewLine(role, resourceProcessor, "ms/s").WithMechanism("duties that are scheduled only when they are due").
				Add(Estimated("target for an idle VM", 2, "ms/s"))),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("delta received, verified and applied with a small configuration").
			Add(changesPerSecond(), m.processChangeTime()),
		NewLine(role, resourceMemory, "MB").WithMechanism("program and duties with a small configuration, measured with 60 VMs").
			Add(m.costAt(slopeProcessMemory, maxMeasuredVMs)),
		NewLine(role, resourceMemory, "MB").WithMechanism("retained deltas, bounded").
			Add(Constant("limit of retained deltas", deltaBytesLimit, "MB")),
		NewLine(role, resourceMemory, "MB").WithMechanism("timeline, bounded").
			AddScaled(megaPerByte, m.costAt(slopeRecordMemory, timelineEvents)),
	}
}

// Distributor returns the additional lines of the two VMs of a failure domain that poll
// the platform for changes and distribute them to the other VMs.
func (m *Model) Distributor() []Line {
	const role = "poller and distributor"
	benchmarkVMs := float64(targetVMs) / targetDomains * benchmarkDomains
	const tree = "distribution tree with a fan-out of eight"
	branches := Estimated("followers per VM in the tree", 8, "")
	followers := Given("followers per poller ((136 − 2) / 2)", (float64(targetVMs)/targetDomains-pollersPerDomain)/pollersPerDomain, "")
	return []Line{
		NewLine(role, resourceMessages, "KB/s").WithMechanism("responses to long polls").
			AddScaled(kiloPerByte, followers, m.costAt(slopeIdleBytes, benchmarkVMs)).
			AddScaled(kiloPerByte, followers, rateOf("long polls", longPollPeriod), Estimated("headers per exchange", headerBytes, "B")).
			WithPlanned(NewLine(role, resourceMessages, "KB/s").WithMechanism(tree).
				AddScaled(kiloPerByte, branches, m.costAt(slopeIdleBytes, benchmarkVMs)).
				AddScaled(kiloPerByte, branches, rateOf("long polls", longPollPeriod), Estimated("headers per exchange", headerBytes, "B"))),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("deltas sent to each follower").
			AddScaled(kiloPerByte, followers, changesPerSecond(), m.costAt(slopeChangeBytes, benchmarkVMs)).
			WithPlanned(NewLine(role, resourceMessages, "KB/s").WithMechanism(tree).
				AddScaled(kiloPerByte, branches, changesPerSecond(), m.costAt(slopeChangeBytes, benchmarkVMs))),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("poll of the head every second").
			AddScaled(kiloPerByte, rateOf("polls", 1), Estimated("per exchange with the table", 900, "B")),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("responses to long polls").
			Add(followers, rateOf("long polls", longPollPeriod), Estimated("per exchange", 0.15, "ms")).
			WithPlanned(NewLine(role, resourceProcessor, "ms/s").WithMechanism(tree).
				Add(branches, rateOf("long polls", longPollPeriod), Estimated("per exchange", 0.15, "ms"))),
	}
}
