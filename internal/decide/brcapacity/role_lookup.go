package brcapacity

// Lookups returns the lines of a VM that answers look-ups. The processor time of
// look-ups counts as traffic; the look-up tables and their maintenance count as
// control.
func (m *Model) Lookups() []Line {
	const role = "look-up server"
	remaining := Estimated("remaining fraction of the snapshot", 0.5, "")
	perVM := Given("look-ups per VM (12,000,000 / 6,400)", targetLookups/targetVMs, "1/s")
	return []Line{
		NewLine(role, resourceTraffic, "ms/s").WithMechanism("longest-prefix trie, VMs with the highest weights").
			AddScaled(milliPerNano, perVM, m.costAt(slopeLocate, targetBlocks)),
		NewLine(role, resourceTraffic, "ms/s").WithMechanism("net/http on persistent connections").
			Add(perVM, Estimated("per HTTP exchange", 0.04, "ms")),
		NewLine(role, resourceMemory, "MB").WithMechanism("persistent maps shared between generations").
			AddScaled(megaPerByte, m.costAt(slopeSnapshotMemory, targetBlocks)).
			WithPlanned(NewLine(role, resourceMemory, "MB").WithMechanism("numeric site IDs in the distances of a block").
				AddScaled(megaPerByte, remaining, m.costAt(slopeSnapshotMemory, targetBlocks))),
		NewLine(role, resourceMemory, "MB").WithMechanism("trie with sites by distance, no matrix of blocks and sites").
			AddScaled(megaPerByte, m.costAt(slopeLocatorMemory, targetBlocks)),
		NewLine(role, resourceMemory, "MB").WithMechanism("garbage before a collection, as much as the live heap (GOGC 100)").
			AddScaled(megaPerByte, m.costAt(slopeSnapshotMemory, targetBlocks)).
			AddScaled(megaPerByte, m.costAt(slopeLocatorMemory, targetBlocks)).
			WithPlanned(NewLine(role, resourceMemory, "MB").WithMechanism("numeric site IDs in the distances of a block").
				AddScaled(megaPerByte, remaining, m.costAt(slopeSnapshotMemory, targetBlocks)).
				AddScaled(megaPerByte, m.costAt(slopeLocatorMemory, targetBlocks))),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("incremental update for a changed block").
			AddScaled(milliPerNano, changesPerSecond(), m.costAt(slopeChange, targetBlocks)),
		NewLine(role, resourceProcessor, "ms/s").WithMechanism("index of VMs by site rebuilt for a changed VM").
			AddScaled(milliPerNano, changesPerSecond(), Estimated("fraction of changes to VMs", 0.1, ""), m.costAt(slopeChangeVM, targetVMs)),
	}
}
