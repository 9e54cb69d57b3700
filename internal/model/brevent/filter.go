package brevent

// Filter selects events. A field that is "" matches every event.
type Filter struct {
	organisation string
	request      string
	move         string
	vm           string
	kind         Kind
}

// WithOrganisation restricts the filter to events of an organisation.
func (f Filter) WithOrganisation(name string) Filter {
	f.organisation = name
	return f
}

// WithRequest restricts the filter to events of a request.
func (f Filter) WithRequest(id string) Filter {
	f.request = id
	return f
}

// WithMove restricts the filter to events of a move.
func (f Filter) WithMove(name string) Filter {
	f.move = name
	return f
}

// WithVM restricts the filter to events of a VM.
func (f Filter) WithVM(name string) Filter {
	f.vm = name
	return f
}

// WithKind restricts the filter to events of a kind.
func (f Filter) WithKind(kind Kind) Filter {
	f.kind = kind
	return f
}

// VM returns the VM whose events are selected, or "" for all VMs.
func (f Filter) VM() string { return f.vm }

// IsEmpty reports whether the filter matches every event.
func (f Filter) IsEmpty() bool { return f == Filter{} }

// Matches reports whether the filter selects an event.
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
