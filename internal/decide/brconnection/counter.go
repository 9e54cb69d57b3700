// Package brconnection decides whether a front takes one more connection.
//
// # Usage
//
//	counter := brconnection.NewCounter(4096, 512)
//	if counter.Take(client) {
//		defer counter.Release(client)
//	}
package brconnection

import "net/netip"

// prefixIPv6 is the length of the prefix that counts as one IPv6 address: a
// client commonly holds all addresses of it.
const prefixIPv6 = 64

// Counter counts connections in all and by client address. It belongs to one
// goroutine at a time.
type Counter struct {
	most          int
	mostOfAddress int
	total         int
	byAddress     map[netip.Addr]int
}

// NewCounter returns a counter that allows so many connections in all and of
// one client address.
func NewCounter(most, mostOfAddress int) *Counter {
	return &Counter{most: most, mostOfAddress: mostOfAddress, byAddress: map[netip.Addr]int{}}
}

// Total returns the number of connections that are held.
func (c *Counter) Total() int { return c.total }

// Take counts a connection and reports whether it is within the limits.
func (c *Counter) Take(client netip.Addr) bool {
	client = keyOf(client)
	if c.total >= c.most || c.byAddress[client] >= c.mostOfAddress {
		return false
	}
	c.total++
	c.byAddress[client]++
	return true
}

// Release forgets a connection that was taken.
func (c *Counter) Release(client netip.Addr) {
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
