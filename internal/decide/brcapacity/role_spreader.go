package brcapacity

const (
	modelDomains    = 4      // failure domains in the benchmark of configuration distribution
	headers         = 500    // bytes per exchange
	longPoll        = 1.5    // seconds
	deltaBytesLimit = 4      // MB
	historyLength   = 16_384 // events
	domainPollers   = 2      // VMs per failure domain
	largestFleet    = 60     // VMs in the largest measured fleet
)

// Follower returns the lines of a VM that receives configuration changes from
// another VM.
func (m *Model) Follower() []Line {
	const role = "follower of the spreading"
	inModel := float64(targetVMs) / targetDomains * modelDomains
	return []Line{
		NewLine(role, resourceMessages, "KB/s").CarriedBy("long poll of 1.5 s at one source").
			AddScaled(kiloPerByte, m.at(slopeIdle, inModel)).
			AddScaled(kiloPerByte, every("long polls", longPoll), Estimated("headers of an exchange", headers, "B")),
		NewLine(role, resourceMessages, "KB/s").CarriedBy("encoded deltas, one each generation").
			AddScaled(kiloPerByte, changesPerSecond(), m.at(slopeSpread, inModel)),
		NewLine(role, resourceProcessor, "ms/s").CarriedBy("ticks of the duties, long polls, all else that an idle VM does").
			Add(m.at(slopeProcessIdle, largestFleet)).
			ReplacedBy(NewLine(role, resourceProcessor, "ms/s").CarriedBy("duties that tell when they are due").
				Add(Estimated("an idle VM, as aimed at", 2, "ms/s"))),
		NewLine(role, resourceProcessor, "ms/s").CarriedBy("delta received, checked and taken over with a small configuration").
			Add(changesPerSecond(), m.processChange()),
		NewLine(role, resourceMemory, "MB").CarriedBy("program and duties with a small configuration; taken at 60 VMs").
			Add(m.at(slopeProcessMemory, largestFleet)),
		NewLine(role, resourceMemory, "MB").CarriedBy("kept deltas, bounded").
			Add(Constant("bytes of deltas", deltaBytesLimit, "MB")),
		NewLine(role, resourceMemory, "MB").CarriedBy("time line, bounded").
			AddScaled(megaPerByte, m.at(slopeRecordMemory, historyLength)),
	}
}

// Spreader returns the additional lines of the two VMs of a failure domain that poll
// the platform for changes and distribute them to the other VMs.
func (m *Model) Spreader() []Line {
	const role = "poller and spreader"
	inModel := float64(targetVMs) / targetDomains * modelDomains
	const tree = "tree of eight VMs a level"
	branches := Estimated("followers in a tree", 8, "")
	followers := Given("followers of a poller ((136 − 2) / 2)", (float64(targetVMs)/targetDomains-domainPollers)/domainPollers, "")
	return []Line{
		NewLine(role, resourceMessages, "KB/s").CarriedBy("answers to long polls").
			AddScaled(kiloPerByte, followers, m.at(slopeIdle, inModel)).
			AddScaled(kiloPerByte, followers, every("long polls", longPoll), Estimated("headers of an exchange", headers, "B")).
			ReplacedBy(NewLine(role, resourceMessages, "KB/s").CarriedBy(tree).
				AddScaled(kiloPerByte, branches, m.at(slopeIdle, inModel)).
				AddScaled(kiloPerByte, branches, every("long polls", longPoll), Estimated("headers of an exchange", headers, "B"))),
		NewLine(role, resourceMessages, "KB/s").CarriedBy("deltas sent to each follower").
			AddScaled(kiloPerByte, followers, changesPerSecond(), m.at(slopeSpread, inModel)).
			ReplacedBy(NewLine(role, resourceMessages, "KB/s").CarriedBy(tree).
				AddScaled(kiloPerByte, branches, changesPerSecond(), m.at(slopeSpread, inModel))),
		NewLine(role, resourceMessages, "KB/s").CarriedBy("poll of the head each second").
			AddScaled(kiloPerByte, every("polls", 1), Estimated("an exchange with the table", 900, "B")),
		NewLine(role, resourceProcessor, "ms/s").CarriedBy("answers to long polls").
			Add(followers, every("long polls", longPoll), Estimated("one exchange", 0.15, "ms")).
			ReplacedBy(NewLine(role, resourceProcessor, "ms/s").CarriedBy(tree).
				Add(branches, every("long polls", longPoll), Estimated("one exchange", 0.15, "ms"))),
	}
}
