package brcapacity

import "github.com/go-faster/errors"

// Slope identifies a cost that a benchmark measures over one dimension.
type Slope struct {
	name      string
	benchmark string
	dimension string
	unit      string
	pkg       string
	minSize   float64 // of the points that the fit uses
}

// Name returns a description of the cost.
func (s Slope) Name() string { return s.name }

// Benchmark returns the name of the benchmark without the prefix "Benchmark".
func (s Slope) Benchmark() string { return s.benchmark }

// Dimension returns the name of the dimension, as the benchmark reports it.
func (s Slope) Dimension() string { return s.dimension }

// Unit returns the unit of the cost, as the benchmark reports it.
func (s Slope) Unit() string { return s.unit }

// Command returns the shell command that runs the benchmark.
func (s Slope) Command() string {
	if s.benchmark == "Fleet" {
		return "make fleet"
	}
	return "go test -run '^$' -bench '" + s.benchmark + "' ./internal/" + s.pkg
}

// Slopes measured by benchmarks within one process.
var (
	slopeLocate         = Slope{"time per look-up", "Locate", "blocks", "ns/op", "decide/brlookup", 0}
	slopeSnapshotMemory = Slope{"live heap of a snapshot", "Memory", "blocks", "snapshot-B", "decide/brlookup", 0}
	slopeLocatorMemory  = Slope{"live heap of the look-up table", "Memory", "blocks", "locator-B", "decide/brlookup", 0}
	slopeChange         = Slope{"time per block change, applied and indexed", "Advance", "blocks", "ns/op", "decide/brlookup", 0}
	slopeChangeVM       = Slope{"time per VM change, applied and indexed", "AdvanceVM", "VMs", "ns/op", "decide/brlookup", 0}
	slopeChangeSites    = Slope{"time per block change at 10,000 blocks", "AdvanceSites", "sites", "ns/op", "decide/brlookup", 0}
	slopeRebuild        = Slope{"time to rebuild the look-up table", "Rebuild", "blocks", "ns/op", "decide/brlookup", 0}
	slopeSnapshotBytes  = Slope{"size of an encoded snapshot", "Snapshot", "blocks", "encoded-B", "codec/brdocument", 0}
	slopeSnapshotTime   = Slope{"time to encode and decode a snapshot", "Snapshot", "blocks", "ns/op", "codec/brdocument", 0}
	slopeKeychain       = Slope{"time per granted key", "Advance", "organisations", "ns/op", "decide/brkey", 0}
	slopeRenewals       = Slope{"time per tick over the accounts", "Renewals", "organisations", "ns/op", "decide/brshare", 0}
	slopeWitnesses      = Slope{"time to choose the witnesses", "Choose", "VMs", "ns/op", "decide/brwitness", 0}
	slopePlan           = Slope{"time to compute a source plan", "NewPlan", "VMs", "ns/op", "decide/brdistribution", 0}
	slopeListTime       = Slope{"time per reading of the VM list", "List", "VMs", "ns/op", "peer/brvmlist", 0}
	slopeListBytes      = Slope{"size of the VM list", "List", "VMs", "list-B", "peer/brvmlist", 0}
	slopeRecord         = Slope{"time to record the events", "Record", "events", "ns/op", "duty/brtimeline", 0}
	slopeRecordMemory   = Slope{"live heap of a timeline", "Record", "events", "heap-B", "duty/brtimeline", 0}
	slopeClaim          = Slope{"transactions per batch of claims", "Claim", "claims", "transactions", "duty/brclaimstore", 0}
	slopeIdleBytes      = Slope{"message bodies per VM without changes", "InForce", "VMs", "idle-B/s/VM", "duty/brfollower", 50}
	slopeChangeBytes    = Slope{"message bodies per VM for a change", "InForce", "VMs", "change-B/VM", "duty/brfollower", 50}
	slopeSharesBytes    = Slope{"size of the shares row of a failure domain", "Shares", "VMs", "row-B", "codec/brdocument", 0}
	slopeWritesDomains  = Slope{"writes of shares rows, 24 VMs", "TableWrites", "domains", "writes/s", "duty/brborrower", 0}
	slopeWritesVMs      = Slope{"writes of shares rows, 2 domains", "TableWrites", "VMs", "writes/s", "duty/brborrower", 0}
)

// Slopes measured with one process per VM.
var (
	slopeProcessIdle     = Slope{"processor time of an idle VM", "Fleet", "VMs", "idle-ms/s/VM", "tests", 0}
	slopeProcessChanging = Slope{"processor time of a VM during changes", "Fleet", "VMs", "changing-ms/s/VM", "tests", 0}
	slopeProcessRate     = Slope{"rate of these changes", "Fleet", "VMs", "changes/s", "tests", 0}
	slopeProcessMemory   = Slope{"resident memory of a VM with a small configuration", "Fleet", "VMs", "resident-MB/VM", "tests", 0}
)

// Slopes returns all slopes that the model needs.
func Slopes() []Slope {
	return []Slope{
		slopeLocate, slopeSnapshotMemory, slopeLocatorMemory, slopeChange, slopeChangeVM, slopeChangeSites, slopeRebuild,
		slopeSnapshotBytes, slopeSnapshotTime, slopeKeychain, slopeRenewals, slopeWitnesses, slopePlan,
		slopeListTime, slopeListBytes, slopeRecord, slopeRecordMemory, slopeClaim,
		slopeSharesBytes, slopeIdleBytes, slopeChangeBytes, slopeWritesDomains, slopeWritesVMs,
		slopeProcessIdle, slopeProcessChanging, slopeProcessRate, slopeProcessMemory,
	}
}

// Model computes the resource usage of all roles at the target size.
type Model struct {
	fits map[Slope]Fit
}

// NewModel returns a model with fits of the series that read returns for each slope.
func NewModel(read func(Slope) (Series, error)) (*Model, error) {
	m := &Model{fits: map[Slope]Fit{}}
	for _, s := range Slopes() {
		series, err := read(s)
		if err != nil {
			return nil, errors.Errorf("read slope %q: %w", s.name, err)
		}
		fit, err := series.WithMinSize(s.minSize).Fit()
		if err != nil {
			return nil, errors.Errorf("fit slope %q: %w", s.name, err)
		}
		m.fits[s] = fit
	}
	return m, nil
}

// Fit returns the fit of a slope.
func (m *Model) Fit(s Slope) Fit { return m.fits[s] }

// costAt returns the cost of a slope at a size. If the fit decreases with size, the cost
// is assumed not to depend on it and the mean is used.
func (m *Model) costAt(s Slope, size float64) Quantity {
	if m.fits[s].slope < 0 {
		return m.fits[s].Mean(s.name)
	}
	return m.fits[s].At(s.name, size)
}

// processChangeTime returns the processor time of one configuration change in a VM,
// measured with one process per VM.
func (m *Model) processChangeTime() Quantity {
	mean := func(s Slope) float64 { return m.fits[s].Mean(s.name).value }
	idle, changing, rate := mean(slopeProcessIdle), mean(slopeProcessChanging), mean(slopeProcessRate)
	return Quantity{
		name:   "time per change applied by all duties of a process",
		value:  (changing - idle) / rate,
		unit:   "ms",
		origin: OriginMeasured,
		detail: "(" + formatNumber(changing) + " − " + formatNumber(idle) + " ms/s) / " + formatNumber(rate) + " 1/s",
	}
}
