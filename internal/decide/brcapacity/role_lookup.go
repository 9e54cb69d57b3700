package brcapacity

// Lookups returns the lines of a VM that answers look-ups. The processor time of
// look-ups counts as traffic; the look-up tables and their maintenance count as
// control.
func (m *Model) Lookups() []Line {
	const role = "server of look-ups"
	remaining := Estimated("of the snapshot is left", 0.5, "")
	perVM := Given("look-ups of a VM (12,000,000 / 6,400)", targetLookups/targetVMs, "1/s")
	return []Line{
		NewLine(role, resourceTraffic, "ms/s").WithMechanism("longest-prefix trie, best VMs by weight").
			AddScaled(milliPerNano, perVM, m.costAt(slopeLocate, targetBlocks)),
		NewLine(role, resourceTraffic, "ms/s").WithMechanism("net/http on kept connections").
			Add(perVM, Estimated("one HTTP exchange", 0.04, "ms")),
		NewLine(role, resourceMemory, "MB").WithMechanism("persistent maps that generations share").
			AddScaled(megaPerByte, m.costAt(slopeSnapshotMemory, targetBlocks)).
			WithPlanned(NewLine(role, resourceMemory, "MB").WithMechanism("sites as numbers in the distances of a block").
				AddScaled(megaPerByte, remaining, m.costAt(slopeSnapshotMemory, targetBlocks))),
		NewLine(role, resourceMemory, "MB").WithMechanism("trie of sites by distance, no table of blocks by sites").
			AddScaled(megaPerByte, m.costAt(slopeLocatorMemory, targetBlocks)),
		NewLine(role, resourceMemory, "MB").WithMechanism("garbage before a collection, as much as is live (GOGC 100)").
			AddScaled(megaPerByte, m.costAt(slopeSnapshotMemory, targetBlocks)).
			AddScaled(megaPerByte, m.costAt(slopeLocatorMemory, targetBlocks)).
			WithPlanned(NewLine(role, resourceMemory, "MB").WithMechanism("sites as numbers in the distances of a block").
				AddScaled(megaPerByte, remaining, m.costAt(slopeSnapshotMemory, targetBlocks)).
				AddScaled(megaPerByte, m.costAt(slopeLocatorMemory, targetBlocks))),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("change compiled by delta").
			AddScaled(milliPerNano, changesPerSecond(), m.costAt(slopeChange, targetBlocks)),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("VMs of sites gathered anew").
			AddScaled(milliPerNano, changesPerSecond(), Estimated("of changes are of VMs", 0.1, ""), m.costAt(slopeChangeVM, targetVMs)),
	}
}
