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

// Locator answers look-ups from one snapshot. It is immutable; locators of
// successive generations share what did not change.
type Locator struct {
	snapshot *brconfig.Snapshot
	blocks   *bart.Table[[]place]
	sites    map[string][]brconfig.VM
	all      []brconfig.VM
}

// place is a block as look-ups need it.
type place struct {
	block string
	sites []string // nearest first
}

// NewLocator returns a locator for a snapshot.
func NewLocator(snapshot *brconfig.Snapshot) *Locator {
	l := &Locator{snapshot: snapshot, blocks: &bart.Table[[]place]{}}
	for b := range snapshot.Blocks().All() {
		l.blocks.Modify(b.Prefix(), func(places []place, _ bool) ([]place, bool) { return with(places, b), false })
	}
	l.gatherVMs()
	return l
}

// Advance returns a locator for a later snapshot, at a cost that follows the
// number of changes where the snapshot tells them.
func (l *Locator) Advance(snapshot *brconfig.Snapshot) *Locator {
	changed, known := snapshot.ChangedSince(l.snapshot.Generation())
	if !known {
		return NewLocator(snapshot)
	}
	next := &Locator{snapshot: snapshot, blocks: l.blocks, sites: l.sites, all: l.all}
	movedVMs := false
	for _, r := range changed {
		switch r.Kind() {
		case brconfig.KindBlock:
			next.moveBlock(l.snapshot, r.Name())
		case brconfig.KindVM:
			movedVMs = true
		default:
		}
	}
	if movedVMs {
		next.gatherVMs()
	}
	return next
}

// Locate returns the VMs for a caller. A caller outside all blocks gets any VMs.
func (l *Locator) Locate(client netip.Addr) brlocation.Answer {
	places, ok := l.blocks.Lookup(client.Unmap())
	if !ok {
		return brlocation.NewAnswer("", nearest(l.all, client, maxVMs), timeToLive)
	}
	found := places[len(places)-1]
	vms := make([]brconfig.VM, 0, maxVMs)
	for _, site := range found.sites {
		if len(vms) == maxVMs {
			break
		}
		vms = append(vms, nearest(l.sites[site], client, maxVMs-len(vms))...)
	}
	if len(vms) == 0 {
		vms = nearest(l.all, client, maxVMs)
	}
	return brlocation.NewAnswer(found.block, vms, timeToLive)
}

// moveBlock takes out the block as it was and puts it in as it is now.
func (l *Locator) moveBlock(before *brconfig.Snapshot, name string) {
	if old, ok := before.Blocks().Get(name).Get(); ok {
		l.blocks = l.blocks.ModifyPersist(old.Prefix(), func(places []place, _ bool) ([]place, bool) {
			rest := without(places, name)
			return rest, len(rest) == 0
		})
	}
	if b, ok := l.snapshot.Blocks().Get(name).Get(); ok {
		l.blocks = l.blocks.ModifyPersist(b.Prefix(), func(places []place, _ bool) ([]place, bool) { return with(places, b), false })
	}
}

func (l *Locator) gatherVMs() {
	l.sites = map[string][]brconfig.VM{}
	l.all = make([]brconfig.VM, 0, l.snapshot.VMs().Len())
	for v := range l.snapshot.VMs().All() {
		l.sites[v.Site()] = append(l.sites[v.Site()], v)
		l.all = append(l.all, v)
	}
}

// with returns the places of one prefix with a block, by ascending name.
func with(places []place, b brconfig.Block) []place {
	added := append(without(places, b.Name()), place{block: b.Name(), sites: sitesByDistance(b)})
	slices.SortFunc(added, func(a, b place) int { return cmp.Compare(a.block, b.block) })
	return added
}

func without(places []place, name string) []place {
	rest := make([]place, 0, len(places)+1)
	for _, p := range places {
		if p.block != name {
			rest = append(rest, p)
		}
	}
	return rest
}

func sitesByDistance(b brconfig.Block) []string {
	sorted := slices.Clone(b.Distances())
	slices.SortStableFunc(sorted, func(a, b brconfig.Distance) int {
		return cmp.Compare(a.RoundTrip(), b.RoundTrip())
	})
	sites := make([]string, 0, len(sorted))
	for _, d := range sorted {
		sites = append(sites, d.Site())
	}
	return sites
}

// nearest returns up to limit VMs with the highest rendezvous hash of caller
// and VM, highest first. It hashes each VM once and does not sort the rest.
func nearest(vms []brconfig.VM, client netip.Addr, limit int) []brconfig.VM {
	var best [maxVMs]candidate
	count := 0
	limit = min(limit, maxVMs)
	for i := range vms {
		c := candidate{weight: weight(client, vms[i].Name()), index: i}
		count = insert(best[:limit], count, c)
	}
	chosen := make([]brconfig.VM, 0, count)
	for _, c := range best[:count] {
		chosen = append(chosen, vms[c.index])
	}
	return chosen
}

type candidate struct {
	weight uint64
	index  int
}

// insert puts a candidate among the best ones, highest first, and returns
// their number.
func insert(best []candidate, count int, c candidate) int {
	at := count
	for at > 0 && best[at-1].weight < c.weight {
		at--
	}
	if at == len(best) {
		return count
	}
	count = min(count+1, len(best))
	copy(best[at+1:count], best[at:count-1])
	best[at] = c
	return count
}

func weight(client netip.Addr, vm string) uint64 {
	bytes := client.As16()
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(bytes[:])
	_, _ = digest.WriteString(vm)
	return digest.Sum64()
}
