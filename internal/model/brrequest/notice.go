package brrequest

// PoisonNotice tells other VMs of a request that kills servers, or that it does
// not or may run again. It is immutable.
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

// NewPoisonAcquittal says that a request ran to its end about when a server
// died, so that the death has another cause.
func NewPoisonAcquittal(fingerprint Fingerprint, server string) PoisonNotice {
	return PoisonNotice{fingerprint: fingerprint, server: server, lifted: true}
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

// Lifted reports whether the notice speaks for the request.
func (n PoisonNotice) Lifted() bool { return n.lifted }

// Acquits reports whether the notice says that a server's death has another cause.
func (n PoisonNotice) Acquits() bool { return n.lifted && n.server != "" }

// Relayed reports whether the receiver tells the others of its failure domain.
func (n PoisonNotice) Relayed() bool { return n.relayed }
