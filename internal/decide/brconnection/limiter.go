// Package brconnection limits the connections that a front end accepts, in total
// and per client address.
//
// # Usage
//
//	counter := brconnection.NewLimiter(4096, 512)
//	if counter.Take(client) {
//		defer counter.Release(client)
//	}
package brconnection

import "net/netip"

// prefixIPv6 is the length of the IPv6 prefix that counts as one address: a
// client commonly holds all addresses of it.
const prefixIPv6 = 64

// Limiter counts open connections in total and by client address. It must not be
// used by several goroutines at a time.
type Limiter struct {
	limit           int
	perAddressLimit int
	total           int
	byAddress       map[netip.Addr]int
}

// NewLimiter returns a counter that allows limit connections in total and
// perAddressLimit per client address.
func NewLimiter(limit, perAddressLimit int) *Limiter {
	return &Limiter{limit: limit, perAddressLimit: perAddressLimit, byAddress: map[netip.Addr]int{}}
}

// Total returns the number of open connections.
func (c *Limiter) Total() int { return c.total }

// Take counts a new connection and returns true, or returns false if a limit is
// reached.
func (c *Limiter) Take(client netip.Addr) bool {
	client = keyOf(client)
	if c.total >= c.limit || c.byAddress[client] >= c.perAddressLimit {
		return false
	}
	c.total++
	c.byAddress[client]++
	return true
}

// Release removes a connection counted by Take.
func (c *Limiter) Release(client netip.Addr) {
	client = keyOf(client)
	if c.byAddress[client] == 0 {
		return
	}
	c.total--
	c.byAddress[client]--
	if c.byAddress[client] == 0 {
		delete(c.byAddress, client)
	}
}

func keyOf(client netip.Addr) netip.Addr {
	client = client.Unmap().WithZone("")
	if !client.Is6() {
		return client
	}
	prefix, err := client.Prefix(prefixIPv6)
	if err != nil {
		return client
	}
	return prefix.Addr()
}
