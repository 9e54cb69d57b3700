package brconnection

const (
	// reservedFiles is the number of descriptors that are kept for files, and for connections
	// to the store and between VMs.
	reservedFiles = 200
	// memoryPerConnection is the memory that a caller's connection may need before its header
	// is complete: buffers, stacks and a header of the largest size.
	memoryPerConnection = 64 << 10 // bytes
	// callerShare, peerShare and otherShare are the parts of the remaining descriptors, in
	// shareUnits, for the connections of callers, of other VMs and of each other front. A VM
	// that others report to has up to three connections of each of them.
	callerShare = 12
	peerShare   = 8
	otherShare  = 1
	shareUnits  = 32
	// requestShare is the part for requests in progress, each of which may need a connection to
	// a server.
	requestShare = 8
	// addressDivisor divides the connections of a front into the most that one address gets.
	addressDivisor = 2
	// minConnections keeps a VM with very few descriptors usable.
	minConnections = 8
)

// Allotment divides a VM's descriptors among its fronts. It is immutable.
type Allotment struct {
	files  int
	memory int64
}

// NewAllotment returns the allotment of a VM that may open a number of files and has a memory
// in bytes, 0 if unknown.
func NewAllotment(files int, memory int64) Allotment {
	return Allotment{files: max(files-reservedFiles, 0), memory: memory}
}

// Callers returns the maximum number of callers' connections.
func (a Allotment) Callers() int {
	count := a.share(callerShare)
	if a.memory > 0 {
		count = min(count, int(a.memory/memoryPerConnection))
	}
	return max(count, minConnections)
}

// Peers returns the maximum number of connections of other VMs.
func (a Allotment) Peers() int { return max(a.share(peerShare), minConnections) }

// Others returns the maximum number of connections of each other front.
func (a Allotment) Others() int { return max(a.share(otherShare), minConnections) }

// Requests returns the maximum number of callers' requests in progress.
func (a Allotment) Requests() int { return max(a.share(requestShare), minConnections) }

func (a Allotment) share(units int) int { return a.files * units / shareUnits }

// PerAddress returns how many of a number of connections one address gets.
func PerAddress(connections int) int { return max(connections/addressDivisor, 1) }
