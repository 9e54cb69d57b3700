package brevent

// The kinds of events about the fate of requests.
const (
	// KindRequestUnknown means that a server may or may not have run a request.
	KindRequestUnknown Kind = "request-outcome-unknown"
	// KindRequestForwarded means that a request was sent to another entry VM.
	KindRequestForwarded Kind = "request-forwarded"
	// KindPoisonRefused means that requests of a fingerprint are refused from now on.
	KindPoisonRefused Kind = "poison-refused"
	// KindPoisonSuspected says that a server died while it ran a request.
	KindPoisonSuspected Kind = "poison-suspected"
	// KindPoisonLifted means that requests of a fingerprint may run again.
	KindPoisonLifted Kind = "poison-lifted"
)
