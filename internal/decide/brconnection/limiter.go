// Package brconnection limits the connections that a front end accepts, in total
// and per client address.
//
// # Usage
//
//	limiter := brconnection.NewLimiter(4096, 512)
//	if limiter.Acquire(client) {
//		defer limiter.Release(client)
//	}
package brconnection

import "net/netip"

// ipv6PrefixLength is the length of the IPv6 prefix that counts as one address: a
// client commonly holds all addresses of it.
const ipv6PrefixLength = 64

// Limiter counts open connections in total and by client address. It is not safe
// for concurrent use.
type Limiter struct {
	limit           int
	perAddressLimit int
	total           int
	byAddress       map[netip.Addr]int
}

// NewLimiter returns a limiter that allows limit connections in total and
// perAddressLimit per client address.
func NewLimiter(limit, perAddressLimit int) *Limiter {
	return &Limiter{limit: limit, perAddressLimit: perAddressLimit, byAddress: map[netip.Addr]int{}}
}

// Total returns the number of open connections.
func (l *Limiter) Total() int { return l.total }

// Acquire counts a new connection and returns true, or returns false if a limit is
// reached.
func (l *Limiter) Acquire(client netip.Addr) bool {
	client = keyOf(client)
	if l.total >= l.limit || l.byAddress[client] >= l.perAddressLimit {
		return false
	}
	l.total++
	l.byAddress[client]++
	return true
}

// Release removes a connection counted by Acquire.
func (l *Limiter) Release(client netip.Addr) {
	client = keyOf(client)
	if l.byAddress[client] == 0 {
		return
	}
	l.total--
	l.byAddress[client]--
	if l.byAddress[client] == 0 {
		delete(l.byAddress, client)
	}
}

// keyOf returns the address that a client is counted under: its IPv4 address, or the
// first address of its IPv6 prefix.
func keyOf(client netip.Addr) netip.Addr {
	client = client.Unmap().WithZone("")
	if !client.Is6() {
		return client
	}
	prefix, err := client.Prefix(ipv6PrefixLength)
	if err != nil {
		return client
	}
	return prefix.Addr()
}
