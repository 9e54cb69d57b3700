package brevent

// The kinds of events about the execution of requests.
const (
	// KindRequestOutcomeUnknown means that a server may or may not have executed a request.
	KindRequestOutcomeUnknown Kind = "request-outcome-unknown"
	// KindRequestForwarded means that a request was sent to another entry VM.
	KindRequestForwarded Kind = "request-forwarded"
	// KindPoisonRefused means that requests of a fingerprint are refused from now on.
	KindPoisonRefused Kind = "poison-refused"
	// KindPoisonSuspected means that a server crashed while it executed a request.
	KindPoisonSuspected Kind = "poison-suspected"
	// KindPoisonLifted means that requests of a fingerprint are permitted again.
	KindPoisonLifted Kind = "poison-lifted"
)
