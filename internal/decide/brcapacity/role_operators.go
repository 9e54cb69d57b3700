package brcapacity

// Operators returns the lines of the administration API on a VM that processes all
// changes.
func (m *Model) Operators() []Line {
	const role = "administration API, all changes on one VM"
	return []Line{
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("witnesses chosen for each change").
			AddScaled(milliPerNano, changesPerSecond(), m.costAt(slopeWitnesses, targetVMs)),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("validation, delta, object and transaction").
			Add(changesPerSecond(), Estimated("per change", 2, "ms")),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("object, transaction, announcement to a witness").
			AddScaled(kiloPerByte, changesPerSecond(), Estimated("exchanges per change", 6000, "B")),
	}
}

// Moves returns the lines of a VM that executes moves. They are estimates for VMs that
// exchange sums of outcomes by failure domain. The duties exchange no such sums: each VM
// compares the versions by the outcomes that it observes itself.
func (*Model) Moves() []Line {
	const role = "move executor"
	moves := Estimated("moves executed by one VM", 4, "")
	return []Line{
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("one step per second, outcomes summed by failure domain (not built: each VM evaluates its own outcomes)").
			Add(moves, Estimated("steps", 1, "1/s"), Estimated("per step", 0.2, "ms")),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("one summary per failure domain every 5 s (not built: VMs exchange no summaries of moves)").
			AddScaled(kiloPerByte, moves, givenCount("failure domains", targetDomains), Estimated("summaries", 0.2, "1/s"), Estimated("per summary", 100, "B")),
		NewLine(role, resourceMemory, "MB").WithMechanism("counts by failure domain and version (not built: each VM counts its own outcomes by route and version)").
			AddScaled(megaPerByte, moves, givenCount("failure domains", targetDomains), Estimated("counts", 400, "B")),
	}
}
