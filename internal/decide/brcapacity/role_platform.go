package brcapacity

import "bergamotroad.example/bergamotroad/internal/decide/brwitness"

const (
	idleRowUpdatePeriod = 60  // seconds
	snapshotInterval    = 256 // generations
)

// TableLoad returns the load of all VMs on the platform's table.
func (m *Model) TableLoad() []Line {
	const role = "table"
	byDomain := m.costAt(slopeWritesDomains, targetDomains)
	moreVMs := Measured("writes per additional VM", m.fits[slopeWritesVMs].Slope(), "1/s")
	return []Line{
		NewLine(role, resourceWrites, "1/s").WithMechanism("one shares row per failure domain").
			Add(byDomain).
			Add(givenCount("VMs beyond the 24 measured", targetVMs-24), moreVMs),
		NewLine(role, resourceWrites, "1/s").WithMechanism("one transaction per change").
			Add(changesPerSecond()),
		NewLine(role, resourceReads, "1/s").WithMechanism("two pollers per failure domain").
			Add(givenCount("failure domains", targetDomains), Constant("pollers", pollersPerDomain, ""), rateOf("polls", 1)),
		NewLine(role, resourceReads, "1/s").WithMechanism("polls by the witnesses").
			Add(Constant("witnesses", brwitness.Count, ""), rateOf("polls per witness", 2)),
		NewLine(role, resourceReads, "1/s").WithMechanism("reads of the shares row by VMs that hold a floor").
			Add(givenCount("VMs", targetVMs), rateOf("row reads", idleRowUpdatePeriod)),
		NewLine(role, resourceReads, "1/s").WithMechanism("a read before each write of a shares row").
			Add(byDomain).
			Add(givenCount("VMs beyond the 24 measured", targetVMs-24), moreVMs),
	}
}

// ObjectStoreLoad returns the load of all VMs on the platform's object store.
func (*Model) ObjectStoreLoad() []Line {
	const role = "object store"
	return []Line{
		NewLine(role, resourceWrites, "1/s").WithMechanism("one delta per change").
			Add(changesPerSecond()),
		NewLine(role, resourceWrites, "1/s").WithMechanism("a snapshot in pieces every 256 generations, written by two VMs").
			Add(changesPerSecond(), Constant("snapshots per generation", 2.0/snapshotInterval, ""), Estimated("pieces", 100, "")),
		NewLine(role, resourceReads, "1/s").WithMechanism("each delta read by two pollers of each failure domain").
			Add(changesPerSecond(), givenCount("failure domains", targetDomains), Constant("pollers", pollersPerDomain, "")),
	}
}

// VMListLoad returns the load of all VMs on the platform's VM list.
func (m *Model) VMListLoad() []Line {
	const role = "VM list"
	return []Line{
		NewLine(role, resourceReads, "1/s").WithMechanism("read by each VM every 30 s").
			Add(givenCount("VMs", targetVMs), rateOf("readings of the list", listPeriod)),
		NewLine(role, resourceBytes, "MB/s").WithMechanism("whole list in each reading").
			AddScaled(megaPerByte, givenCount("VMs", targetVMs), rateOf("readings of the list", listPeriod), m.costAt(slopeListBytes, targetVMs)),
	}
}
