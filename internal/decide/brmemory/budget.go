// Package brmemory decides how the bodies of requests may use a VM's memory: which are
// buffered, so that they can be retried, which are streamed, and which are refused.
//
// A request reserves memory before its body is read. Three quarters of the budget are for
// bodies of any size; those that don't fit are streamed, up to nine tenths of the budget, and
// then refused. The rest is for small bodies, so that clients with large or slow bodies don't
// keep others from being served. No address may hold more than half of the budget: beyond it,
// its requests are refused.
//
// # Usage
//
//	budget := brmemory.NewBudget(brmemory.BodyBytes(memory))
//	switch budget.Begin(holder, size) {
//	case brmemory.Buffer: // read the body, then budget.End(holder, size)
//	case brmemory.Stream: // forward the body as it arrives, then budget.End(holder, brmemory.StreamBytes)
//	case brmemory.Refuse: // the request has not run
//	}
package brmemory

import "net/netip"

const (
	// runtimeFraction is the Go runtime's soft memory limit, as a fraction of a VM's memory.
	// The rest is for the program's own pages, the kernel's buffers of its connections, and for
	// memory in use that temporarily exceeds the limit: the runtime collects garbage for at
	// most half of its time.
	runtimeFraction = 0.6
	// bodyDivisor divides a VM's memory to get the budget for bodies. The Go runtime's limit
	// is 0.6 of the memory; a quarter for bodies leaves more than half of that limit for the
	// program itself, connections and responses.
	bodyDivisor = 4
	// defaultBodyBytes is the budget of a VM whose memory is unknown. It is the budget of a VM
	// with 512 MB.
	defaultBodyBytes = 128 << 20
	// minBodyBytes is the smallest budget. Half of it, which one address gets, holds the largest
	// body that is buffered.
	minBodyBytes = 4 << 20
	// anySizeShare is the part of the budget that bodies of any size may hold.
	anySizeShare = 0.75
	// streamShare is the part of the budget up to which bodies are streamed. The rest is for
	// small bodies only, which are served even while others are refused.
	streamShare = 0.9
	// holderShare is the part of the budget that one address or one organisation may hold.
	holderShare = 0.5
	// smallBytes is the largest body that may use all of the budget.
	smallBytes = 16 << 10
	// StreamBytes is reserved for a body that is streamed, for the buffers of its connections.
	StreamBytes = 64 << 10
	// ipv6PrefixLength is the length of the IPv6 prefix that counts as one address: a client
	// commonly holds all addresses of it.
	ipv6PrefixLength = 64
)

// RuntimeLimit returns the Go runtime's soft memory limit for a VM with a memory in bytes.
func RuntimeLimit(memory int64) int64 { return int64(runtimeFraction * float64(memory)) }

// BodyBytes returns the budget for bodies of a VM with a memory in bytes, 0 if unknown.
func BodyBytes(memory int64) int64 {
	if memory <= 0 {
		return defaultBodyBytes
	}
	return max(memory/bodyDivisor, minBodyBytes)
}

// Verdict is what happens to a body.
type Verdict int

// The verdicts.
const (
	// Refuse refuses the request before it has run.
	Refuse Verdict = iota
	// Stream forwards the body as it arrives.
	Stream
	// Buffer reads the body before it is forwarded.
	Buffer
)

// String returns the verdict as it stands in metrics.
func (v Verdict) String() string { return [...]string{"refused", "streamed", "buffered"}[v] }

// Holder identifies who sends a body. It is immutable.
type Holder struct {
	address      netip.Addr
	organisation string
}

// NewHolder returns the holder with an address and an organisation, which is "" if unknown.
func NewHolder(address netip.Addr, organisation string) Holder {
	address = address.Unmap().WithZone("")
	if prefix, err := address.Prefix(ipv6PrefixLength); err == nil && address.Is6() {
		address = prefix.Addr()
	}
	return Holder{address: address, organisation: organisation}
}

// Address returns the address, or the first address of its IPv6 prefix.
func (h Holder) Address() netip.Addr { return h.address }

// Organisation returns the organisation, or "".
func (h Holder) Organisation() string { return h.organisation }

// Budget counts the memory that bodies have reserved. It is not safe for concurrent use.
type Budget struct {
	bytes          int64
	used           int64
	byAddress      map[netip.Addr]int64
	byOrganisation map[string]int64
}

// NewBudget returns a budget in bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{bytes: bytes, byAddress: map[netip.Addr]int64{}, byOrganisation: map[string]int64{}}
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 { return b.used }

// Bytes returns the size of the budget.
func (b *Budget) Bytes() int64 { return b.bytes }

// Begin decides about a body and reserves its memory: size bytes if it is buffered,
// StreamBytes if it is streamed, and none if it is refused.
func (b *Budget) Begin(holder Holder, size int64) Verdict {
	if b.Grow(holder, 0, size) {
		return Buffer
	}
	return b.BeginStream(holder)
}

// BeginStream decides about a body that can't be buffered, and reserves StreamBytes unless it
// is refused.
func (b *Budget) BeginStream(holder Holder) Verdict {
	if b.addressFull(holder, StreamBytes) || b.used+StreamBytes > int64(streamShare*float64(b.bytes)) {
		return Refuse
	}
	b.add(holder, StreamBytes)
	return Stream
}

// Grow reserves more memory for a body of which held bytes are reserved. It reports false and
// reserves nothing if the memory doesn't fit.
func (b *Budget) Grow(holder Holder, held, more int64) bool {
	limit := int64(anySizeShare * float64(b.bytes))
	if held+more <= smallBytes {
		limit = b.bytes
	}
	if b.used+more > limit || b.addressFull(holder, more) || b.organisationFull(holder, more) {
		return false
	}
	b.add(holder, more)
	return true
}

// End releases reserved memory.
func (b *Budget) End(holder Holder, bytes int64) { b.add(holder, -bytes) }

// Largest returns the address that holds most of the budget and its bytes.
func (b *Budget) Largest() (netip.Addr, int64) {
	largest, most := netip.Addr{}, int64(0)
	for address, bytes := range b.byAddress {
		if bytes > most || bytes == most && address.Less(largest) {
			largest, most = address, bytes
		}
	}
	return largest, most
}

func (b *Budget) addressFull(holder Holder, more int64) bool {
	return float64(b.byAddress[holder.address]+more) > holderShare*float64(b.bytes)
}

// organisationFull reports whether an organisation would hold too much. Requests without an
// organisation are bounded by their addresses only.
func (b *Budget) organisationFull(holder Holder, more int64) bool {
	return holder.organisation != "" && float64(b.byOrganisation[holder.organisation]+more) > holderShare*float64(b.bytes)
}

func (b *Budget) add(holder Holder, bytes int64) {
	b.used += bytes
	addTo(b.byAddress, holder.address, bytes)
	addTo(b.byOrganisation, holder.organisation, bytes)
}

// addTo adds to a count and removes it once it is 0, so that the map does not grow with all
// holders ever seen.
func addTo[K comparable](counts map[K]int64, key K, bytes int64) {
	if counts[key] += bytes; counts[key] == 0 {
		delete(counts, key)
	}
}
