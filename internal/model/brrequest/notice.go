package brrequest

// PoisonNotice tells other VMs of a request that kills servers, or that an
// operator lifted its refusal. It is immutable.
type PoisonNotice struct {
	fingerprint Fingerprint
	server      string
	lifted      bool
	relayed     bool
}

// NewPoisonNotice says that a server died while it ran a request.
func NewPoisonNotice(fingerprint Fingerprint, server string) PoisonNotice {
	return PoisonNotice{fingerprint: fingerprint, server: server}
}

// NewPoisonLift says that an operator lifted the refusal of a request.
func NewPoisonLift(fingerprint Fingerprint) PoisonNotice {
	return PoisonNotice{fingerprint: fingerprint, lifted: true}
}

// WithRelayed returns the notice for a VM that tells the others of its failure domain.
func (n PoisonNotice) WithRelayed(relayed bool) PoisonNotice {
	n.relayed = relayed
	return n
}

// Fingerprint returns the fingerprint of the request.
func (n PoisonNotice) Fingerprint() Fingerprint { return n.fingerprint }

// Server returns the name of the server that died, or none as "".
func (n PoisonNotice) Server() string { return n.server }

// Lifted reports whether an operator lifted the refusal.
func (n PoisonNotice) Lifted() bool { return n.lifted }

// Relayed reports whether the receiver tells the others of its failure domain.
func (n PoisonNotice) Relayed() bool { return n.relayed }
