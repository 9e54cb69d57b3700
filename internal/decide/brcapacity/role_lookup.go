package brcapacity

// Lookups returns the lines of a VM that answers look-ups. The processor time of
// look-ups counts as traffic; the look-up tables and their maintenance count as
// control.
func (m *Model) Lookups() []Line {
	const role = "server of look-ups"
	shrunk := Estimated("of the snapshot is left", 0.5, "")
	perVM := Given("look-ups of a VM (12,000,000 / 6,400)", targetLookups/targetVMs, "1/s")
	return []Line{
		NewLine(role, resourceTraffic, "ms/s").CarriedBy("longest-prefix trie, best VMs by weight").
			AddScaled(milliPerNano, perVM, m.at(slopeLocate, targetBlocks)),
		NewLine(role, resourceTraffic, "ms/s").CarriedBy("net/http on kept connections").
			Add(perVM, Estimated("one HTTP exchange", 0.04, "ms")),
		NewLine(role, resourceMemory, "MB").CarriedBy("persistent maps that generations share").
			AddScaled(megaPerByte, m.at(slopeSnapshotMemory, targetBlocks)).
			ReplacedBy(NewLine(role, resourceMemory, "MB").CarriedBy("sites as numbers in the distances of a block").
				AddScaled(megaPerByte, shrunk, m.at(slopeSnapshotMemory, targetBlocks))),
		NewLine(role, resourceMemory, "MB").CarriedBy("trie of sites by distance, no table of blocks by sites").
			AddScaled(megaPerByte, m.at(slopeLocatorMemory, targetBlocks)),
		NewLine(role, resourceMemory, "MB").CarriedBy("garbage before a collection, as much as is live (GOGC 100)").
			AddScaled(megaPerByte, m.at(slopeSnapshotMemory, targetBlocks)).
			AddScaled(megaPerByte, m.at(slopeLocatorMemory, targetBlocks)).
			ReplacedBy(NewLine(role, resourceMemory, "MB").CarriedBy("sites as numbers in the distances of a block").
				AddScaled(megaPerByte, shrunk, m.at(slopeSnapshotMemory, targetBlocks)).
				AddScaled(megaPerByte, m.at(slopeLocatorMemory, targetBlocks))),
		NewLine(role, resourceProcessor, "ms/s").CarriedBy("change compiled by delta").
			AddScaled(milliPerNano, changesPerSecond(), m.at(slopeChange, targetBlocks)),
		NewLine(role, resourceProcessor, "ms/s").CarriedBy("VMs of sites gathered anew").
			AddScaled(milliPerNano, changesPerSecond(), Estimated("of changes are of VMs", 0.1, ""), m.at(slopeChangeVM, targetVMs)),
	}
}
