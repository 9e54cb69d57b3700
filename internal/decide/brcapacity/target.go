package brcapacity

// Target sizes from the users' requirements.
const (
	targetVMs           = 6400
	targetBlocks        = 110_000
	targetSites         = 1200
	targetDomains       = 47
	targetRegions       = 22
	targetLookups       = 12_000_000 // per second
	targetChanges       = 32_000     // per day
	targetRestarts      = 2000       // per day
	targetFailures      = 29         // per day
	targetOnlineTime    = 7          // seconds
	secondsPerDay       = 86_400
	burstFactor         = 10 // times the mean rate of changes
	targetOrganisations = 10_000
)

// Budgets of a VM for control, that is, for everything but user traffic.
const (
	processorLimit = 11  // ms per second
	memoryLimit    = 256 // MB
	messageLimit   = 12  // KB per second
)

// Budgets of the platform's store.
const (
	storeWriteLimit = 300  // per second
	storeReadLimit  = 2000 // per second
)

// Resources used by the roles.
const (
	resourceProcessor = "processor time"
	resourceMemory    = "memory"
	resourceMessages  = "messages"
	resourceTraffic   = "processor time for traffic"
	resourceWrites    = "writes"
	resourceReads     = "reads"
	resourceBytes     = "bytes"
)

// Unit conversion factors.
const (
	milliPerNano = 1e-6
	megaPerByte  = 1e-6
	kiloPerByte  = 1e-3
)

// VMBudgets returns the budgets of a VM for control.
func VMBudgets() []Budget {
	return []Budget{
		NewBudget(resourceProcessor, "ms/s", processorLimit),
		NewBudget(resourceMemory, "MB", memoryLimit),
		NewBudget(resourceMessages, "KB/s", messageLimit),
	}
}

// StoreBudgets returns the budgets of the platform's store, which are the rates that
// it can sustain.
func StoreBudgets() []Budget {
	return []Budget{
		NewBudget(resourceWrites, "1/s", storeWriteLimit),
		NewBudget(resourceReads, "1/s", storeReadLimit),
	}
}

func changesPerSecond() Quantity {
	return Given("changes (32,000 / 86,400)", float64(targetChanges)/secondsPerDay, "1/s")
}

func vmsPerDomain() Quantity {
	return Given("VMs per failure domain (6,400 / 47)", float64(targetVMs)/targetDomains, "")
}

func givenCount(name string, value float64) Quantity { return Given(name, value, "") }

// rateOf returns the rate of an operation that runs once per period.
func rateOf(name string, seconds float64) Quantity {
	return Constant(name, 1/seconds, "1/s")
}
