package brrequest

// Target is an entry VM of another failure domain that can place a request.
type Target struct {
	domain  string
	vm      string
	address string
}

// NewTarget returns a VM of a domain, with the address for other entry VMs as host:port.
func NewTarget(domain, vm, address string) Target {
	return Target{domain: domain, vm: vm, address: address}
}

// Domain returns the name of the failure domain.
func (t Target) Domain() string { return t.domain }

// VM returns the name of the entry VM.
func (t Target) VM() string { return t.vm }

// Address returns host:port.
func (t Target) Address() string { return t.address }
