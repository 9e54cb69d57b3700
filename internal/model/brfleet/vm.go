package brfleet

// VM is an entry VM as described by its registration. It is immutable.
type VM struct {
	name          string
	domain        string
	region        string
	callerAddress string
	peerAddress   string
	incarnation   int64
}

// NewVM returns a VM with its host:port addresses for callers and for other VMs.
func NewVM(name, callerAddress, peerAddress string) VM {
	return VM{name: name, callerAddress: callerAddress, peerAddress: peerAddress}
}

// WithLocation returns the VM with its failure domain and region.
func (v VM) WithLocation(domain, region string) VM {
	v.domain = domain
	v.region = region
	return v
}

// WithIncarnation returns the VM with the incarnation of its process.
func (v VM) WithIncarnation(incarnation int64) VM {
	v.incarnation = incarnation
	return v
}

// Name returns the VM's name.
func (v VM) Name() string { return v.name }

// Domain returns the failure domain.
func (v VM) Domain() string { return v.domain }

// Region returns the region.
func (v VM) Region() string { return v.region }

// CallerAddress returns the host:port address for callers.
func (v VM) CallerAddress() string { return v.callerAddress }

// PeerAddress returns the host:port address for other VMs.
func (v VM) PeerAddress() string { return v.peerAddress }

// Incarnation returns the incarnation of the VM's process, which changes with
// each restart.
func (v VM) Incarnation() int64 { return v.incarnation }
