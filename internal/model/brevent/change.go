package brevent

// The kinds of events of the administration API.
const (
	KindChangeAccepted Kind = "change-accepted"
	KindChangeDenied   Kind = "change-denied"
	KindChangeRefused  Kind = "change-refused"
	KindChangeUnknown  Kind = "change-outcome-unknown"
)
