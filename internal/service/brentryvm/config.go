package brentryvm

import (
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brmeter"
)

// Config holds a VM's name and location, the addresses that it listens on and the
// operators' settings. It is immutable.
type Config struct {
	self         brfleet.VM
	bounds       brfleet.Bounds
	regions      map[string]string
	seeds        []string
	lookups      string
	healthChecks string
	metrics      string
	memory       int64
	metering     brmeter.Terms
	files        int
}

// NewConfig returns the config of a VM with the operators' settings and the region of
// each failure domain.
func NewConfig(self brfleet.VM, bounds brfleet.Bounds, regions map[string]string) Config {
	return Config{self: self, bounds: bounds, regions: regions}
}

// WithSeeds returns the config with the addresses of the VMs to contact while no other
// VM is known.
func (c Config) WithSeeds(seeds []string) Config {
	c.seeds = seeds
	return c
}

// WithAddresses returns the config with the addresses for look-ups, health checks and
// metrics, as host:port; with "" for metrics, none are served.
func (c Config) WithAddresses(lookups, checks, metrics string) Config {
	c.lookups, c.healthChecks, c.metrics = lookups, checks, metrics
	return c
}

// WithMemory returns the config with the VM's memory in bytes; with 0, the runtime gets
// no memory limit.
func (c Config) WithMemory(bytes int64) Config {
	c.memory = bytes
	return c
}

// WithMetering returns the config with the terms of usage metering; without it, usage is not
// metered.
func (c Config) WithMetering(terms brmeter.Terms) Config {
	c.metering = terms
	return c
}

// WithFiles returns the config with the number of descriptors that the process may open.
func (c Config) WithFiles(count int) Config {
	c.files = count
	return c
}
