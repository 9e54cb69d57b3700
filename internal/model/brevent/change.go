package brevent

// The kinds of events of the administration API.
const (
	// KindChangeAccepted means that a change was accepted, or had been before if it is repeated.
	KindChangeAccepted Kind = "change-accepted"
	// KindChangeDenied means that the operator lacks the permission for a change.
	KindChangeDenied Kind = "change-denied"
	// KindChangeRefused means that a change was refused for any other reason.
	KindChangeRefused Kind = "change-refused"
	// KindChangeOutcomeUnknown means that a change may or may not have been accepted.
	KindChangeOutcomeUnknown Kind = "change-outcome-unknown"
)
