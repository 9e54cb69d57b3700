// Package brlookup decides which entry VMs a caller is told to use.
//
// The block with the longest prefix that holds the caller's address gives the
// candidate sites by distance. Each site gives its VMs, in an order that
// depends on the caller, so that callers spread over equals.
//
// # Usage
//
//	locator := brlookup.NewLocator(snapshot)
//	answer := locator.Locate(client)
//	for _, vm := range answer.VMs() {
//		fmt.Println(vm.CallerAddress())
//	}
package brlookup

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlocation"
)

const (
	// timeToLive is how long a caller may use an answer.
	timeToLive = 10 * time.Second
	// maxVMs bounds the VMs of an answer.
	maxVMs = 4
)

// Locator answers look-ups from one snapshot. It is immutable.
type Locator struct {
	blocks *bart.Table[brconfig.Block]
	sites  map[string][]brconfig.VM
	all    []brconfig.VM
}

// NewLocator returns a locator for a snapshot.
func NewLocator(snapshot *brconfig.Snapshot) *Locator {
	l := &Locator{blocks: &bart.Table[brconfig.Block]{}, sites: map[string][]brconfig.VM{}}
	for b := range snapshot.Blocks().All() {
		l.blocks.Insert(b.Prefix(), b)
	}
	for v := range snapshot.VMs().All() {
		l.sites[v.Site()] = append(l.sites[v.Site()], v)
		l.all = append(l.all, v)
	}
	return l
}

// Locate returns the VMs for a caller. A caller outside all blocks gets any VMs.
func (l *Locator) Locate(client netip.Addr) brlocation.Answer {
	block, ok := l.blocks.Lookup(client.Unmap())
	if !ok {
		return brlocation.NewAnswer("", shuffled(l.all, client, maxVMs), timeToLive)
	}
	vms := make([]brconfig.VM, 0, maxVMs)
	for _, d := range byDistance(block.Distances()) {
		vms = append(vms, shuffled(l.sites[d.Site()], client, maxVMs-len(vms))...)
	}
	return brlocation.NewAnswer(block.Name(), vms, timeToLive)
}

func byDistance(distances []brconfig.Distance) []brconfig.Distance {
	sorted := slices.Clone(distances)
	slices.SortStableFunc(sorted, func(a, b brconfig.Distance) int {
		return cmp.Compare(a.RoundTrip(), b.RoundTrip())
	})
	return sorted
}

// shuffled returns up to limit VMs ordered by rendezvous hash of caller and VM.
func shuffled(vms []brconfig.VM, client netip.Addr, limit int) []brconfig.VM {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b brconfig.VM) int {
		return cmp.Compare(weight(client, b.Name()), weight(client, a.Name()))
	})
	return sorted[:min(limit, len(sorted))]
}

func weight(client netip.Addr, vm string) uint64 {
	bytes := client.As16()
	digest := xxhash.New()
	_, _ = digest.Write(bytes[:])
	_, _ = digest.WriteString(vm)
	return digest.Sum64()
}
