package brrequest

// PoisonNotice informs other VMs that a server crashed while it executed a
// request, that the request did not cause the crash, or that an operator permits it
// again. It is immutable.
type PoisonNotice struct {
	fingerprint Fingerprint
	server      string
	lifted      bool
	relayed     bool
}

// NewPoisonNotice returns the notice that a server crashed while it executed a request.
func NewPoisonNotice(fingerprint Fingerprint, server string) PoisonNotice {
	return PoisonNotice{fingerprint: fingerprint, server: server}
}

// NewPoisonLift returns the notice that an operator permits a request again.
func NewPoisonLift(fingerprint Fingerprint) PoisonNotice {
	return PoisonNotice{fingerprint: fingerprint, lifted: true}
}

// NewPoisonClearance returns the notice that a request completed at about the time
// a server crashed, so that the request did not cause the crash.
func NewPoisonClearance(fingerprint Fingerprint, server string) PoisonNotice {
	return PoisonNotice{fingerprint: fingerprint, server: server, lifted: true}
}

// WithRelayed returns the notice, setting whether its receiver relays it to the
// other VMs of its failure domain.
func (n PoisonNotice) WithRelayed(relayed bool) PoisonNotice {
	n.relayed = relayed
	return n
}

// Fingerprint returns the fingerprint of the request.
func (n PoisonNotice) Fingerprint() Fingerprint { return n.fingerprint }

// Server returns the name of the server that crashed, or "" if there is none.
func (n PoisonNotice) Server() string { return n.server }

// Lifted reports whether the notice withdraws the suspicion or the refusal.
func (n PoisonNotice) Lifted() bool { return n.lifted }

// Clears reports whether the notice states that the request did not cause a
// server's crash.
func (n PoisonNotice) Clears() bool { return n.lifted && n.server != "" }

// Relayed reports whether the receiver relays the notice to the other VMs of its
// failure domain.
func (n PoisonNotice) Relayed() bool { return n.relayed }
