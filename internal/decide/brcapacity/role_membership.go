package brcapacity

const listPeriod = 30 // seconds

// MembershipMonitor returns the lines of a VM that monitors the membership and state
// of the other VMs.
func (m *Model) MembershipMonitor() []Line {
	const role = "membership monitor"
	return []Line{
		NewLine(role, resourceMessages, "KB/s").WithMechanism("platform's whole VM list, read by each VM").
			AddScaled(kiloPerByte, rateOf("readings of the list", listPeriod), m.costAt(slopeListBytes, targetVMs)).
			WithPlanned(NewLine(role, resourceMessages, "KB/s").WithMechanism("pollers distribute the changed entries").
				AddScaled(kiloPerByte, listChanges(), Estimated("per changed entry", 200, "B"))),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("platform's whole VM list, including the work of the server stand-in").
			AddScaled(milliPerNano, rateOf("readings of the list", listPeriod), m.costAt(slopeListTime, targetVMs)).
			WithPlanned(NewLine(role, resourceProcessor, "ms/s").WithMechanism("pollers distribute the changed entries").
				Add(listChanges(), Estimated("per changed entry", 0.2, "ms"))),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("source plan, computed by two duties").
			AddScaled(milliPerNano, rateOf("readings of the list", listPeriod), Constant("duties that compute the plan", 2, ""), m.costAt(slopePlan, targetVMs)),
		NewLine(role, resourceMessages, "KB/s").WithMechanism("heartbeats to neighbours, sent as pings").
			AddScaled(kiloPerByte, Estimated("neighbours", 8, ""), Estimated("heartbeats", 1, "1/s"), Estimated("per heartbeat", 120, "B")),
		NewLine(role, resourceMemory, "MB").WithMechanism("members from the VM list and from the configuration").
			AddScaled(megaPerByte, givenCount("VMs", targetVMs), Estimated("per member", 400, "B")),
	}
}

func listChanges() Quantity {
	const changesPerRestart = 2 // a VM is removed from the list and added again
	return Given("changes to the list (2 × 2,029 / 86,400)", changesPerRestart*float64(targetRestarts+targetFailures)/secondsPerDay, "1/s")
}
