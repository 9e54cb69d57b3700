// Package brlookup decides which entry VMs are returned to a caller.
//
// The caller's address is matched against the configured address blocks; the
// block with the longest prefix gives the candidate sites by distance. The VMs
// of a site are ordered by a hash that depends on the caller, so that callers
// are spread over VMs at the same distance. Callers are hashed into classes, and
// the response for a block and a class is cached.
//
// VMs that are dead, have left or are drained are returned only if no other VM is
// available. A site that lost all its VMs comes last for a hold time after it
// recovers, so that callers don't switch back and forth while it is unstable.
//
// # Usage
//
//	locator := brlookup.NewLocator(snapshot)
//	response := locator.Locate(client)
//	for _, vm := range response.VMs() {
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
	// timeToLive is how long a caller may cache a response.
	timeToLive = 10 * time.Second
	// maxVMs is the maximum number of VMs in a response.
	maxVMs = 4
	// classes is the number of classes of callers; each class orders the VMs of a
	// site differently.
	classes = 64
	// maxResponses is the maximum number of cached responses; the cache is cleared
	// when it is full.
	maxResponses = 16384
)

// Locator answers look-ups from one snapshot. Locators of successive generations
// share unchanged data. A locator caches responses and is not safe for concurrent
// use.
type Locator struct {
	snapshot     *brconfig.Snapshot
	availability Availability
	blocks       *bart.Table[[]blockSites]
	sites        map[string][]brconfig.VM
	all          []brconfig.VM
	responses    map[responseKey]brlocation.Response
}

type responseKey struct {
	block string // "" for callers outside all blocks
	class uint8
}

// blockSites holds the sites of a block.
type blockSites struct {
	block string
	sites []string // nearest first
}

// NewLocator returns a locator for a snapshot.
func NewLocator(snapshot *brconfig.Snapshot) *Locator {
	l := &Locator{snapshot: snapshot, blocks: &bart.Table[[]blockSites]{}, responses: map[responseKey]brlocation.Response{}}
	for b := range snapshot.Blocks().All() {
		l.blocks.Modify(b.Prefix(), func(blocks []blockSites, _ bool) ([]blockSites, bool) { return withBlock(blocks, b), false })
	}
	l.indexVMs()
	return l
}

// Advance returns a locator for a later snapshot. Where the snapshot lists the
// changes since the locator's generation, the cost is proportional to their
// number; otherwise the locator is built anew.
func (l *Locator) Advance(snapshot *brconfig.Snapshot) *Locator {
	changed, known := snapshot.ChangedSince(l.snapshot.Generation())
	if !known {
		return NewLocator(snapshot).WithAvailability(l.availability)
	}
	next := &Locator{
		snapshot:     snapshot,
		availability: l.availability,
		blocks:       l.blocks,
		sites:        l.sites,
		all:          l.all,
		responses:    map[responseKey]brlocation.Response{},
	}
	vmsChanged := false
	for _, r := range changed {
		switch r.Kind() {
		case brconfig.KindBlock:
			next.updateBlock(l.snapshot, r.Name())
		case brconfig.KindVM:
			vmsChanged = true
		default:
		}
	}
	if vmsChanged {
		next.indexVMs()
	}
	return next
}

// WithAvailability returns a locator that excludes and defers VMs according to an
// availability. Excluded VMs are returned only if no other VM is available.
func (l *Locator) WithAvailability(availability Availability) *Locator {
	next := *l
	next.availability = availability
	next.responses = map[responseKey]brlocation.Response{}
	next.indexVMs()
	return &next
}

// Locate returns the VMs for a caller. For a caller outside all blocks, all VMs
// are candidates.
func (l *Locator) Locate(client netip.Addr) brlocation.Response {
	found := blockSites{}
	if blocks, ok := l.blocks.Lookup(client.Unmap()); ok {
		found = blocks[len(blocks)-1]
	}
	key := responseKey{block: found.block, class: classOf(client)}
	if response, ok := l.responses[key]; ok {
		return response
	}
	response := brlocation.NewResponse(found.block, l.choose(found.sites, key.class), timeToLive)
	if len(l.responses) == maxResponses {
		clear(l.responses)
	}
	l.responses[key] = response
	return response
}

// choose returns VMs of the nearest sites; sites that recovered recently come
// last.
func (l *Locator) choose(sites []string, class uint8) []brconfig.VM {
	vms := make([]brconfig.VM, 0, maxVMs)
	for _, recovering := range []bool{false, true} {
		for _, site := range sites {
			if l.availability.recovering[site] == recovering {
				vms = append(vms, highestWeights(l.sites[site], class, maxVMs-len(vms))...)
			}
		}
	}
	if len(vms) == 0 {
		return highestWeights(l.all, class, maxVMs)
	}
	return vms
}

// updateBlock replaces the old state of a block by its new one. The prefix may
// have changed, so the old entry is removed first.
func (l *Locator) updateBlock(before *brconfig.Snapshot, name string) {
	if old, ok := before.Blocks().Get(name).Get(); ok {
		l.blocks = l.blocks.ModifyPersist(old.Prefix(), func(blocks []blockSites, _ bool) ([]blockSites, bool) {
			rest := withoutBlock(blocks, name)
			return rest, len(rest) == 0
		})
	}
	if b, ok := l.snapshot.Blocks().Get(name).Get(); ok {
		l.blocks = l.blocks.ModifyPersist(b.Prefix(), func(blocks []blockSites, _ bool) ([]blockSites, bool) { return withBlock(blocks, b), false })
	}
}

func (l *Locator) indexVMs() {
	l.sites = map[string][]brconfig.VM{}
	l.all = make([]brconfig.VM, 0, l.snapshot.VMs().Len())
	l.addVMs(func(name string) bool { return !l.availability.excluded[name] })
	if len(l.all) == 0 {
		l.addVMs(func(string) bool { return true })
	}
}

func (l *Locator) addVMs(usable func(name string) bool) {
	for v := range l.snapshot.VMs().All() {
		if usable(v.Name()) {
			l.sites[v.Site()] = append(l.sites[v.Site()], v)
			l.all = append(l.all, v)
		}
	}
}

// withBlock returns the blocks of one prefix with a block added, by ascending name.
func withBlock(blocks []blockSites, b brconfig.Block) []blockSites {
	added := append(withoutBlock(blocks, b.Name()), blockSites{block: b.Name(), sites: sitesByDistance(b)})
	slices.SortFunc(added, func(a, b blockSites) int { return cmp.Compare(a.block, b.block) })
	return added
}

func withoutBlock(blocks []blockSites, name string) []blockSites {
	rest := make([]blockSites, 0, len(blocks)+1)
	for _, p := range blocks {
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

// highestWeights returns up to limit VMs with the highest rendezvous hash of class and
// VM, highest first. It hashes each VM once and doesn't sort the remaining ones.
func highestWeights(vms []brconfig.VM, class uint8, limit int) []brconfig.VM {
	var best [maxVMs]candidate
	count := 0
	limit = min(limit, maxVMs)
	for i := range vms {
		c := candidate{weight: weight(class, vms[i].Name()), index: i}
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

// insert adds a candidate to the best ones, sorted by descending weight, if it is
// among them, and returns their number.
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

func classOf(client netip.Addr) uint8 {
	bytes := client.As16()
	return uint8(xxhash.Sum64(bytes[:]) % classes)
}

func weight(class uint8, vm string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(class))
	_, _ = digest.WriteString(vm)
	return digest.Sum64()
}
