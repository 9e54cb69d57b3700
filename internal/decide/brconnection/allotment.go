package brconnection

const (
	// reservedFiles is the number of descriptors that are kept for files, and for connections
	// to the store and between VMs.
	reservedFiles = 200
	// memoryPerConnection is the memory that a caller's connection may need before its header
	// is complete: buffers, stacks and a header of the largest size.
	memoryPerConnection = 64 << 10 // bytes
	// callerDivisor and otherDivisor divide the remaining descriptors into those for callers'
	// connections and for those of each other front. At least a quarter is left for
	// connections to servers.
	callerDivisor = 2
	otherDivisor  = 16
	// requestDivisor divides the descriptors to get the requests in progress, each of which
	// may need a connection to a server.
	requestDivisor = 4
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
	count := a.files / callerDivisor
	if a.memory > 0 {
		count = min(count, int(a.memory/memoryPerConnection))
	}
	return max(count, minConnections)
}

// Others returns the maximum number of connections of each other front.
func (a Allotment) Others() int { return max(a.files/otherDivisor, minConnections) }

// Requests returns the maximum number of callers' requests in progress.
func (a Allotment) Requests() int { return max(a.files/requestDivisor, minConnections) }

// PerAddress returns how many of a number of connections one address gets.
func PerAddress(connections int) int { return max(connections/addressDivisor, 1) }
