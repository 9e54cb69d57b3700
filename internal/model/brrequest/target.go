package brrequest

// Target is an entry VM of another failure domain to which a request can be forwarded.
type Target struct {
	domain  string
	vm      string
	address string
}

// NewTarget returns an entry VM of a domain, with its host:port address for other
// entry VMs.
func NewTarget(domain, vm, address string) Target {
	return Target{domain: domain, vm: vm, address: address}
}

// Domain returns the name of the failure domain.
func (t Target) Domain() string { return t.domain }

// VM returns the name of the entry VM.
func (t Target) VM() string { return t.vm }

// Address returns the host:port address for other entry VMs.
func (t Target) Address() string { return t.address }
