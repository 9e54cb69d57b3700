package brcapacity

// Operators returns the lines of the administration API on a VM that processes all
// changes.
func (m *Model) Operators() []Line {
	const role = "operators' API, all changes through one VM"
	return []Line{
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("witnesses chosen for each change").
			AddScaled(milliPerNano, changesPerSecond(), m.costAt(slopeWitnesses, targetVMs)),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("checks, delta, object and transaction").
			Add(changesPerSecond(), Estimated("one change", 2, "ms")),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("object, transaction, announcement to a witness").
			AddScaled(kiloPerByte, changesPerSecond(), Estimated("the exchanges of a change", 6000, "B")),
	}
}

// Moves returns the lines of a VM that executes moves. This role is not implemented
// yet.
func (*Model) Moves() []Line {
	const role = "driver of moves (not built)"
	moves := Estimated("moves that one VM drives", 4, "")
	return []Line{
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("one step a second, evidence summed by failure domain").
			Add(moves, Estimated("steps", 1, "1/s"), Estimated("one step", 0.2, "ms")),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("a summary of each failure domain each 5 s").
			AddScaled(kiloPerByte, moves, givenCount("failure domains", targetDomains), Estimated("summaries", 0.2, "1/s"), Estimated("a summary", 100, "B")),
		NewLine(role, resourceMemory, "MB").WithMechanism("counts by failure domain and version").
			AddScaled(megaPerByte, moves, givenCount("failure domains", targetDomains), Estimated("counts", 400, "B")),
	}
}
