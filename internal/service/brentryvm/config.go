package brentryvm

import "bergamotroad.example/bergamotroad/internal/model/brfleet"

// Config is the location of a VM, the addresses that it listens on and its settings.
// It is immutable.
type Config struct {
	self         brfleet.VM
	bounds       brfleet.Bounds
	regions      map[string]string
	seeds        []string
	lookups      string
	healthChecks string
	metrics      string
	memory       int64
}

// NewConfig returns the site of a VM with the operators' settings and the region of
// each failure domain.
func NewConfig(self brfleet.VM, bounds brfleet.Bounds, regions map[string]string) Config {
	return Config{self: self, bounds: bounds, regions: regions}
}

// WithSeeds returns the site with the addresses of the VMs to contact while no other
// VM is known.
func (s Config) WithSeeds(seeds []string) Config {
	s.seeds = seeds
	return s
}

// WithAddresses returns the site with the addresses for look-ups, health checks and
// metrics, as host:port; with "" for metrics, none are served.
func (s Config) WithAddresses(lookups, checks, metrics string) Config {
	s.lookups, s.healthChecks, s.metrics = lookups, checks, metrics
	return s
}

// WithMemory returns the site with the VM's memory in bytes; with 0, the runtime gets
// no memory limit.
func (s Config) WithMemory(bytes int64) Config {
	s.memory = bytes
	return s
}
