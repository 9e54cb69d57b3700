package brevent

// Filter chooses events. What is "" matches every event.
type Filter struct {
	organisation string
	request      string
	move         string
	vm           string
	kind         Kind
}

// WithOrganisation returns the filter for events of an organisation.
func (f Filter) WithOrganisation(name string) Filter {
	f.organisation = name
	return f
}

// WithRequest returns the filter for events of a request.
func (f Filter) WithRequest(id string) Filter {
	f.request = id
	return f
}

// WithMove returns the filter for events of a move.
func (f Filter) WithMove(name string) Filter {
	f.move = name
	return f
}

// WithVM returns the filter for events of a VM.
func (f Filter) WithVM(name string) Filter {
	f.vm = name
	return f
}

// WithKind returns the filter for events of a kind.
func (f Filter) WithKind(kind Kind) Filter {
	f.kind = kind
	return f
}

// VM returns the VM whose events are chosen, or "" for all.
func (f Filter) VM() string { return f.vm }

// IsEmpty reports whether the filter matches every event.
func (f Filter) IsEmpty() bool { return f == Filter{} }

// Matches reports whether the filter chooses an event.
func (f Filter) Matches(e Event) bool {
	return matches(f.organisation, e.organisation) &&
		matches(f.request, e.request) &&
		matches(f.move, e.move) &&
		matches(f.vm, e.vm) &&
		matches(f.kind, e.kind)
}

func matches[T ~string](wanted, value T) bool {
	return wanted == "" || wanted == value
}
