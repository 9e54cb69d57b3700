package brcapacity

const listPeriod = 30 // seconds

// Watcher returns the lines of a VM that monitors the membership and state of the
// other VMs.
func (m *Model) Watcher() []Line {
	const role = "watcher of other VMs"
	return []Line{
		NewLine(role, resourceMessages, "KB/s").WithMechanism("the platform's whole list, read by each VM").
			AddScaled(kiloPerByte, rateOf("readings of the list", listPeriod), m.costAt(slopeListBytes, targetVMs)).
			WithPlanned(NewLine(role, resourceMessages, "KB/s").WithMechanism("pollers pass on what changed").
				AddScaled(kiloPerByte, listChanges(), Estimated("a changed entry", 200, "B"))),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("the platform's whole list, the stand-in's part included").
			AddScaled(milliPerNano, rateOf("readings of the list", listPeriod), m.costAt(slopeListTime, targetVMs)).
			WithPlanned(NewLine(role, resourceProcessor, "ms/s").WithMechanism("pollers pass on what changed").
				Add(listChanges(), Estimated("a changed entry", 0.2, "ms"))),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("plan of sources, in two duties").
			AddScaled(milliPerNano, rateOf("readings of the list", listPeriod), Constant("duties with a plan", 2, ""), m.costAt(slopePlan, targetVMs)),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("heartbeats to neighbours (not built)").
			AddScaled(kiloPerByte, Estimated("neighbours", 8, ""), Estimated("heartbeats", 1, "1/s"), Estimated("a heartbeat", 120, "B")),
		NewLine(role, resourceMemory, "MB").WithMechanism("members as listed and as configured").
			AddScaled(megaPerByte, givenCount("VMs", targetVMs), Estimated("a member", 400, "B")),
	}
}

func listChanges() Quantity {
	const changesPerRestart = 2 // a VM is removed from the list and added again
	return Given("changes of the list (2 × 2,029 / 86,400)", changesPerRestart*float64(targetRestarts+targetFailures)/secondsPerDay, "1/s")
}
