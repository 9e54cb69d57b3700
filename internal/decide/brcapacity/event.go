package brcapacity

// Resources that events use.
const (
	resourceDaily        = "sent per day"
	resourceRecoveryTime = "recovery time"
	resourceSent         = "sent"
	resourcePeakWrites   = "writes in the peak second"
	resourcePeakReads    = "reads in the peak second"
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
	const name = "VM failures, 29 per day"
	return Event{
		name:        name,
		description: "Followers of a failed poller switch to their next source. If the failed VM held the pool of shares, one of the four pool candidates claims it by compare-and-set. The VM list is correct after its next reading.",
		lines: []Line{
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("lease of the pool, clock margin and next row update; 12.35 s in the measurement of limits").
				Add(Measured("last rejection after the crash of the pool's holder", 12.35, "s")),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("two readings of the VM list").
				Add(Constant("readings", 2, ""), Constant("apart", listPeriod, "s")),
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("one of four candidates claims the pool").
				Add(Constant("pool candidates", poolCandidates, ""), Estimated("attempts", 1, "1/s")),
		},
	}
}

func (m *Model) vmRestarts() Event {
	const name = "VM restarts, 2,000 per day"
	rate := Given("restarts (2,000 / 86,400)", float64(targetRestarts)/secondsPerDay, "1/s")
	return Event{
		name:        name,
		description: "The VM reads the VM list, fetches the snapshot in pieces of 512 KB from one VM of its failure domain, and then claims a floor of shares with one write.",
		lines: []Line{
			NewLine(name, resourceSent, "MB").WithMechanism("snapshot fetched by one restarted VM").AddScaled(megaPerByte, m.snapshotBytes()),
			NewLine(name, resourceDaily, "GB").WithMechanism("snapshots fetched by all restarted VMs").
				AddScaled(1e-9, givenCount("restarts", targetRestarts), m.snapshotBytes()),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("snapshot encoded by the source and decoded by the restarted VM").
				AddScaled(1e-9, m.costAt(slopeSnapshotTime, targetBlocks)).
				AddScaled(1e-9, m.costAt(slopeRebuild, targetBlocks)),
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("one floor per restart").Add(rate),
		},
	}
}

func (m *Model) rackFailure() Event {
	const name = "failure of a rack or switch, weekly"
	vms := Estimated("VMs per rack", 34, "")
	return Event{
		name:        name,
		description: "The VMs of the rack, all in one failure domain, fail at once. Both pollers may be among them: followers whose sources have failed poll by rank until the VM list is correct. The holder of the pool uses the floors of the failed VMs.",
		lines: []Line{
			NewLine(name, resourcePeakReads, "1/s").WithMechanism("VMs of ranks below 8 and VMs whose sources fail poll every second").
				Add(Estimated("VMs that poll during the failure", 102, ""), rateOf("polls", 1)),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("two readings of the VM list").
				Add(Constant("readings", 2, ""), Constant("apart", listPeriod, "s")),
			NewLine(name, resourceSent, "MB").WithMechanism("snapshots fetched after the rack recovers").AddScaled(megaPerByte, vms, m.snapshotBytes()),
		},
	}
}

func (m *Model) domainFailure() Event {
	const name = "outage of a failure domain, a few times a year"
	return Event{
		name:        name,
		description: "Callers of its sites get VMs of the next nearest sites. The parts of the limits that the domain holds are unused; other domains cannot get them until its row has expired and an operator has released its parts.",
		lines: []Line{
			NewLine(name, "redirected look-ups", "1/s").WithMechanism("next nearest sites").
				Add(vmsPerDomain(), Given("look-ups per VM", targetLookups/targetVMs, "1/s")),
			NewLine(name, "additional look-ups per remaining VM", "%").WithMechanism("distributed over all remaining VMs, as if all were near").
				AddScaled(percent, Given("fraction of the remaining VMs' look-ups (136 / 6,264)", 1/float64(targetDomains-1), "")),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("look-up answers cached for 10 s and two readings of the VM list").
				Add(Constant("time to live", 10, "s")).Add(Constant("readings", 2, ""), Constant("apart", listPeriod, "s")),
		},
	}
}

func (m *Model) domainRestart() Event {
	const name = "136 VMs start at once, store unavailable"
	return Event{
		name:        name,
		description: "No VM of the domain has a snapshot and the store is unavailable: each fetches the whole snapshot from VMs of other failure domains. When the store is available again, all 136 claim a floor in one row by compare-and-set.",
		lines: []Line{
			NewLine(name, resourceSent, "MB").WithMechanism("one snapshot per VM over the region's link").
				AddScaled(megaPerByte, vmsPerDomain(), m.snapshotBytes()),
			NewLine(name, resourceRecoveryTime, "s").WithMechanism("transfer over a link of 280 Mbit/s without other traffic").
				AddScaled(megabitPerByte, vmsPerDomain(), m.snapshotBytes(), Given("transfer time on a link (1 / 280)", 1/linkBandwidth, "s/Mbit")),
			NewLine(name, "reads of the shares row", "MB/s").WithMechanism("the row is read before each attempt").
				AddScaled(megaPerByte, vmsPerDomain(), rateOf("attempts", 1), m.costAt(slopeSharesBytes, vmsPerDomain().value)),
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("attempts to update one row, by each VM every second").
				Add(vmsPerDomain(), rateOf("attempts", 1)),
			NewLine(name, resourcePeakReads, "1/s").WithMechanism("a read before each attempt, and polls by VMs with a stale configuration").
				Add(vmsPerDomain(), Constant("reads", 2, ""), rateOf("attempts", 1)),
		},
	}
}

func (m *Model) partition() Event {
	const name = "network partition between regions for minutes"
	partitionedVMs := Given("VMs per region (6,400 / 22)", float64(targetVMs)/targetRegions, "")
	return Event{
		name:        name,
		description: "VMs that cannot reach the store keep their generation and serve within their floors and the loans between them. They retry the store by rank. After the partition heals, two pollers of each domain read the missed deltas and the other VMs fetch them from the pollers.",
		lines: []Line{
			NewLine(name, "changes missed in 10 min", "").WithMechanism("other VMs retain at most 1,024 deltas").
				Add(changesPerSecond(), Estimated("apart", 600, "s")),
			NewLine(name, resourceSent, "MB").WithMechanism("missed deltas sent to each VM").
				AddScaled(megaPerByte, partitionedVMs, changesPerSecond(), Estimated("apart", 600, "s"), m.costAt(slopeChangeBytes, float64(targetVMs)/targetDomains*benchmarkDomains)),
			NewLine(name, resourcePeakReads, "1/s").WithMechanism("all VMs of the region poll once").Add(partitionedVMs, rateOf("polls", 1)),
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("pools of the region's domains claimed again").
				Add(Given("domains per region (47 / 22)", float64(targetDomains)/targetRegions, ""), Constant("pool candidates", poolCandidates, ""), Estimated("attempts", 1, "1/s")),
		},
	}
}

func (m *Model) changeBursts() Event {
	const name = "32,000 changes per day with bursts"
	burst := Estimated("times the mean rate", burstFactor, "")
	benchmarkVMs := float64(targetVMs) / targetDomains * benchmarkDomains
	return Event{
		name:        name,
		description: "A change consists of one object and one transaction. 94 pollers read the head and the delta, and each sends the delta to its followers.",
		lines: []Line{
			NewLine(name, resourcePeakWrites, "1/s").WithMechanism("one object and one transaction per change").
				Add(Constant("writes", 2, ""), burst, changesPerSecond()),
			NewLine(name, resourcePeakReads, "1/s").WithMechanism("head and deltas read by the pollers").
				Add(givenCount("failure domains", targetDomains), Constant("pollers", pollersPerDomain, ""), rateOf("polls", 1)).
				Add(givenCount("failure domains", targetDomains), Constant("pollers", pollersPerDomain, ""), burst, changesPerSecond()),
			NewLine(name, "processor time per VM", "ms/s").WithMechanism("each change applied, and indexed at full size").
				Add(burst, changesPerSecond(), m.processChangeTime()).
				AddScaled(milliPerNano, burst, changesPerSecond(), m.costAt(slopeChange, targetBlocks)),
			NewLine(name, "messages per poller", "KB/s").WithMechanism("each delta sent to each of 67 followers").
				AddScaled(kiloPerByte, burst, changesPerSecond(), Given("followers", (float64(targetVMs)/targetDomains-pollersPerDomain)/pollersPerDomain, ""), m.costAt(slopeChangeBytes, benchmarkVMs)),
		},
	}
}
