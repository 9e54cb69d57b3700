package brcapacity

// Resources that events use.
const (
	resourceDaily        = "a day"
	resourceRecoveryTime = "time until calm"
	resourceSent         = "sent"
	resourcePeakWrites   = "writes in the worst second"
	resourcePeakReads    = "reads in the worst second"
)

const (
	linkBandwidth  = 280.0 // current bandwidth between regions in Mbit/s
	megabitPerByte = 8e-6  // Mbit per byte
	percent        = 100
)

// Event is an event that occurs in regular operation at the target size, such as the
// failure of a VM, with its costs.
type Event struct {
	name        string
	description string
	lines       []Line
}

// Name returns a short description with the frequency or size of the event.
func (e Event) Name() string { return e.name }

// Description returns a description of how the system handles the event: which messages
// are sent, by which VMs and to which VMs.
func (e Event) Description() string { return e.description }

// Lines returns the costs of the event.
func (e Event) Lines() []Line { return e.lines }

// Events returns the events of regular operation.
func (m *Model) Events() []Event {
	return []Event{m.vmFailures(), m.vmRestarts(), m.rackFailure(), m.domainFailure(), m.domainRestart(), m.partition(), m.changeBursts()}
}

func (m *Model) snapshotBytes() Quantity { return m.costAt(slopeSnapshotBytes, targetBlocks) }

func (*Model) vmFailures() Event {
	const name = "a VM fails, 29 a day"
	return Event{
		name:        name,
		description: "Followers of a failed poller turn to the next source. Where it held the pool of shares, one of four VMs that look after the pool takes it by compare-and-set. The list is right after its next reading.",
		lines: []Line{
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("pool's lease, margin and visit; 12.35 s in the measurement of limits").
				Add(Measured("last refusal after the holder's crash", 12.35, "s")),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("two readings of the list").
				Add(Constant("readings", 2, ""), Constant("apart", listPeriod, "s")),
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("one of four VMs wins the pool").
				Add(Constant("VMs that look after a pool", poolCandidates, ""), Estimated("attempts", 1, "1/s")),
		},
	}
}

func (m *Model) vmRestarts() Event {
	const name = "restarts, 2,000 a day"
	rate := Given("restarts (2,000 / 86,400)", float64(targetRestarts)/secondsPerDay, "1/s")
	return Event{
		name:        name,
		description: "The VM reads the list, takes the snapshot in pieces of 512 KB from one VM of its failure domain, and then a floor of shares by one write.",
		lines: []Line{
			NewLine(name, resourceSent, "MB").WithMechanism("snapshot of one start").AddScaled(megaPerByte, m.snapshotBytes()),
			NewLine(name, resourceDaily, "GB").WithMechanism("snapshots of all starts").
				AddScaled(1e-9, givenCount("restarts", targetRestarts), m.snapshotBytes()),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("snapshot encoded by one VM and read by the other").
				AddScaled(1e-9, m.costAt(slopeSnapshotTime, targetBlocks)).
				AddScaled(1e-9, m.costAt(slopeRebuild, targetBlocks)),
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("one floor each").Add(rate),
		},
	}
}

func (m *Model) rackFailure() Event {
	const name = "a rack or switch is lost, weekly"
	vms := Estimated("VMs of a rack", 34, "")
	return Event{
		name:        name,
		description: "As many failures at once in one failure domain. Both pollers may be among them: followers with failed sources poll by rank until the list is right. The floors of the lost VMs are used by the holder of the pool.",
		lines: []Line{
			NewLine(name, resourcePeakReads, "1/s").WithMechanism("ranks below 8 and VMs whose sources fail poll each second").
				Add(Estimated("VMs that poll meanwhile", 102, ""), rateOf("polls", 1)),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("two readings of the list").
				Add(Constant("readings", 2, ""), Constant("apart", listPeriod, "s")),
			NewLine(name, resourceSent, "MB").WithMechanism("snapshots when the rack is back").AddScaled(megaPerByte, vms, m.snapshotBytes()),
		},
	}
}

func (m *Model) domainFailure() Event {
	const name = "a failure domain is lost, a few times a year"
	return Event{
		name:        name,
		description: "Callers of its sites are told VMs of the next sites. The parts of shares that the domain holds lie idle; domains do not grow into them before its row has lapsed and its parts are freed by an operator.",
		lines: []Line{
			NewLine(name, "look-ups moved", "1/s").WithMechanism("next sites by distance").
				Add(vmsPerDomain(), Given("look-ups of a VM", targetLookups/targetVMs, "1/s")),
			NewLine(name, "more look-ups of each other VM", "%").WithMechanism("spread over all, were they all near").
				AddScaled(percent, Given("of the other VMs' look-ups (136 / 6,264)", 1/float64(targetDomains-1), "")),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("kept look-up answers of 10 s and two readings of the list").
				Add(Constant("time to live", 10, "s")).Add(Constant("readings", 2, ""), Constant("apart", listPeriod, "s")),
		},
	}
}

func (m *Model) domainRestart() Event {
	const name = "136 VMs start at once, store away"
	return Event{
		name:        name,
		description: "None of the domain has a snapshot and the store is away: each asks VMs of other failure domains for the whole snapshot. When the store is back, all 136 want a floor in one row by compare-and-set.",
		lines: []Line{
			NewLine(name, resourceSent, "MB").WithMechanism("a snapshot for each VM over the region's link").
				AddScaled(megaPerByte, vmsPerDomain(), m.snapshotBytes()),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("a link of 280 Mbit/s carries them, nothing else sent").
				AddScaled(megabitPerByte, vmsPerDomain(), m.snapshotBytes(), Given("of a link (1 / 280)", 1/linkBandwidth, "s/Mbit")),
			NewLine(name, "rows of shares read", "MB/s").WithMechanism("a read of the row before each attempt").
				AddScaled(megaPerByte, vmsPerDomain(), rateOf("attempts", 1), m.costAt(slopeSharesBytes, vmsPerDomain().value)),
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("attempts at one row, each VM each second").
				Add(vmsPerDomain(), rateOf("attempts", 1)),
			NewLine(name, resourcePeakReads, "1/s").WithMechanism("a read before each attempt, and polls of the ill-informed").
				Add(vmsPerDomain(), Constant("reads", 2, ""), rateOf("attempts", 1)),
		},
	}
}

func (m *Model) partition() Event {
	const name = "regions apart for minutes"
	partitionedVMs := Given("VMs of a region (6,400 / 22)", float64(targetVMs)/targetRegions, "")
	return Event{
		name:        name,
		description: "VMs that are cut off from the store keep their generation and serve within floors and loans among themselves. They try the store by rank. Coming back, two pollers of each domain walk the missed deltas and the others take them from these.",
		lines: []Line{
			NewLine(name, "changes missed in 10 min", "").WithMechanism("deltas kept by others: 1,024 at most").
				Add(changesPerSecond(), Estimated("apart", 600, "s")),
			NewLine(name, resourceSent, "MB").WithMechanism("missed deltas to each VM").
				AddScaled(megaPerByte, partitionedVMs, changesPerSecond(), Estimated("apart", 600, "s"), m.costAt(slopeChangeBytes, float64(targetVMs)/targetDomains*benchmarkDomains)),
			NewLine(name, resourcePeakReads, "1/s").WithMechanism("all VMs of the region poll once").Add(partitionedVMs, rateOf("polls", 1)),
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("pools of its domains taken anew").
				Add(Given("domains of a region (47 / 22)", float64(targetDomains)/targetRegions, ""), Constant("VMs that look after a pool", poolCandidates, ""), Estimated("attempts", 1, "1/s")),
		},
	}
}

func (m *Model) changeBursts() Event {
	const name = "32,000 changes with bursts"
	burst := Estimated("times the mean", burstFactor, "")
	benchmarkVMs := float64(targetVMs) / targetDomains * benchmarkDomains
	return Event{
		name:        name,
		description: "A change is one object and one transaction. 94 pollers read head and delta; each sends the delta to its followers.",
		lines: []Line{
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("an object and a transaction a change").
				Add(Constant("writes", 2, ""), burst, changesPerSecond()),
			NewLine(name, resourcePeakReads, "1/s").WithMechanism("head and deltas read by the pollers").
				Add(givenCount("failure domains", targetDomains), Constant("pollers", pollersPerDomain, ""), rateOf("polls", 1)).
				Add(givenCount("failure domains", targetDomains), Constant("pollers", pollersPerDomain, ""), burst, changesPerSecond()),
			NewLine(name, "processor time of each VM", "ms/s").WithMechanism("each change taken over, and compiled at full size").
				Add(burst, changesPerSecond(), m.processChangeTime()).
				AddScaled(milliPerNano, burst, changesPerSecond(), m.costAt(slopeChange, targetBlocks)),
			NewLine(name, "messages of a poller", "KB/s").WithMechanism("each delta to each of 67 followers").
				AddScaled(kiloPerByte, burst, changesPerSecond(), Given("followers", (float64(targetVMs)/targetDomains-pollersPerDomain)/pollersPerDomain, ""), m.costAt(slopeChangeBytes, benchmarkVMs)),
		},
	}
}
