package brpoison

// Policy weighs the servers that a poison request costs against the time that
// innocent suspects lose.
type Policy interface {
	// Deadly returns the number of servers whose deaths refuse a request.
	Deadly() int
	// Serial reports whether only one suspect runs at a time.
	Serial() bool
	// Shared reports whether what VMs tell is summed up on its way, so that it
	// costs little to tell more: what speaks for a request, and all of it again.
	Shared() bool
}

// Sparing loses as few servers as can be: suspects wait for each other.
type Sparing struct{}

// Deadly returns 2: where suspects run one at a time, the second death has one cause.
func (Sparing) Deadly() int { return 2 }

// Serial reports that suspects wait for each other.
func (Sparing) Serial() bool { return true }

// Shared reports that a notice is a message to each VM.
func (Sparing) Shared() bool { return false }

// Prompt lets no suspect wait, for callers who give up within seconds, where
// what VMs tell each other is summed up on its way.
type Prompt struct{}

// Deadly returns 3: innocents that ran beside a poison request twice are not refused.
func (Prompt) Deadly() int { return 3 }

// Serial reports that suspects run side by side.
func (Prompt) Serial() bool { return false }

// Shared reports that notices travel in the reports of VMs.
func (Prompt) Shared() bool { return true }
