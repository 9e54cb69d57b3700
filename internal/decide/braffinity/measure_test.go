package braffinity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"bergamotroad.example/bergamotroad/internal/decide/braffinity"
)

// The measured fleet: 3 regions of 2 failure domains, servers of unequal slots. VMs of
// all regions request all objects equally often.
const (
	measuredServers = 480
	measuredObjects = 10_000
	nearServers     = 4
)

var measuredRegions = []string{"a", "b", "c"}

// node is a server of the measured fleet.
type node struct {
	id        string
	domain    string
	region    string
	slots     int
	evacuated bool
	node      braffinity.Node
}

// Node returns what the order of servers depends on.
func (n *node) Node() *braffinity.Node { return &n.node }

func newNode(id, domain, region string, slots int) *node {
	return &node{id: id, domain: domain, region: region, slots: slots, node: braffinity.NewNode(id, region, slots)}
}

// ordering orders servers for an object, as one VM does.
type ordering interface {
	// update sets the servers that are registered and not draining.
	update(nodes []*node)
	first(object string, limit int) []*node
}

// newFleet returns servers of 2, 4, 6 or 8 slots, spread evenly over the domains.
func newFleet(random *rand.Rand, count int) []*node {
	nodes := []*node{}
	for i := range count {
		region := measuredRegions[i%3]
		domain := fmt.Sprint(region, "-", 1+i/3%2)
		nodes = append(nodes, newNode(fmt.Sprintf("s-%d-%d", i, random.Uint32()), domain, region, 2*(1+random.IntN(4))))
	}
	return nodes
}

func totalSlots(nodes []*node) float64 {
	total := 0
	for _, n := range nodes {
		if !n.evacuated {
			total += n.slots
		}
	}
	return float64(total)
}

// movement counts the objects that change servers while a fleet changes.
type movement struct {
	vms     map[string]ordering // one VM of each region
	objects int
	before  map[string][][]*node // the first servers of each object, by region
	nodes   []*node              // usable ones of the latest step
	firsts  float64              // objects whose first server changed, as a fraction of all
	nears   float64              // the same for the first few servers
	minimum float64              // share of the slots that were added or removed
}

func newMovement(newOrdering func(region string) ordering, objects int) *movement {
	m := &movement{vms: map[string]ordering{}, objects: objects, before: map[string][][]*node{}}
	for _, region := range measuredRegions {
		m.vms[region] = newOrdering(region)
	}
	return m
}

func usable(nodes []*node) []*node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.evacuated })
}

// step orders the servers for all objects anew and counts what changed.
func (m *movement) step(nodes []*node) {
	now := usable(nodes)
	known := map[*node]bool{}
	for _, n := range m.nodes {
		known[n] = true
	}
	added, removed := 0, 0
	for _, n := range now {
		if !known[n] {
			added += n.slots
		}
		delete(known, n)
	}
	for n := range known {
		removed += n.slots
	}
	for _, region := range measuredRegions {
		after := make([][]*node, m.objects)
		m.vms[region].update(nodes)
		for object := range m.objects {
			after[object] = m.vms[region].first(fmt.Sprint("object-", object), nearServers)
			if m.nodes != nil {
				m.compare(m.before[region][object], after[object])
			}
		}
		m.before[region] = after
	}
	if m.nodes != nil {
		m.minimum += float64(added)/totalSlots(now) + float64(removed)/totalSlots(m.nodesBefore())
	}
	m.nodes = now
}

// nodesBefore returns the servers of the previous step with the slots that they had.
func (m *movement) nodesBefore() []*node {
	list := []*node{}
	for _, n := range m.nodes {
		list = append(list, &node{slots: n.slots})
	}
	return list
}

func (m *movement) compare(before, after []*node) {
	weight := 1 / float64(m.objects*len(measuredRegions))
	if before[0] != after[0] {
		m.firsts += weight
	}
	for _, n := range after {
		if !slices.Contains(before, n) {
			m.nears += weight / float64(len(after))
		}
	}
}

// deviation returns by how much the share of objects of the worst group of servers
// deviates from its share of the slots, as a fraction of that.
func (m *movement) deviation(group func(*node) string) float64 {
	objects, slots := map[string]float64{}, map[string]float64{}
	for _, lists := range m.before {
		for _, list := range lists {
			objects[group(list[0])] += 1 / float64(m.objects*len(measuredRegions))
		}
	}
	total := totalSlots(m.nodes)
	for _, n := range m.nodes {
		slots[group(n)] += float64(n.slots) / total
	}
	worst := 0.0
	for name, share := range slots {
		worst = max(worst, math.Abs(objects[name]/share-1))
	}
	return worst
}

// serverDeviation returns the standard deviation of the servers' shares of objects, as a
// fraction of their shares of the slots.
func (m *movement) serverDeviation() float64 {
	objects := map[*node]float64{}
	for _, lists := range m.before {
		for _, list := range lists {
			objects[list[0]] += 1 / float64(m.objects*len(measuredRegions))
		}
	}
	total, sum := totalSlots(m.nodes), 0.0
	for _, n := range m.nodes {
		share := float64(n.slots) / total
		sum += share * math.Pow(objects[n]/share-1, 2)
	}
	return math.Sqrt(sum)
}

func byRegion(n *node) string { return n.region }
func byDomain(n *node) string { return n.domain }
func bySlots(n *node) string  { return fmt.Sprint(n.slots) }

// change is a change of the fleet that is measured. Its steps are the fleets after the
// first one.
type change struct {
	name    string
	servers int
	objects int
	steps   func(random *rand.Rand, nodes []*node, step func([]*node))
}

var changes = []change{
	{"one server is added", measuredServers, measuredObjects, func(random *rand.Rand, nodes []*node, step func([]*node)) {
		step(append(slices.Clone(nodes), newFleet(random, 1)...))
	}},
	{"ten servers of a region are added", measuredServers, measuredObjects, func(random *rand.Rand, nodes []*node, step func([]*node)) {
		for range 10 {
			nodes = append(slices.Clone(nodes), newFleet(random, 1)...)
			step(nodes)
		}
	}},
	{"one in ten is drained", measuredServers, measuredObjects, func(random *rand.Rand, nodes []*node, step func([]*node)) {
		drained := random.Perm(len(nodes))[:len(nodes)/10]
		remaining := []*node{}
		for i, n := range nodes {
			if !slices.Contains(drained, i) {
				remaining = append(remaining, n)
			}
		}
		step(remaining)
	}},
	{"a domain is evacuated", measuredServers, measuredObjects, func(_ *rand.Rand, nodes []*node, step func([]*node)) {
		evacuate(nodes, true)
		step(nodes)
	}},
	{"a domain is evacuated and comes back", measuredServers, measuredObjects, func(_ *rand.Rand, nodes []*node, step func([]*node)) {
		evacuate(nodes, true)
		step(nodes)
		evacuate(nodes, false)
		step(nodes)
	}},
	{"a domain is lost", measuredServers, measuredObjects, func(_ *rand.Rand, nodes []*node, step func([]*node)) {
		step(slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool { return n.domain == "a-1" }))
	}},
	{"a release replaces a third", measuredServers / 2, measuredObjects / 10, func(random *rand.Rand, nodes []*node, step func([]*node)) {
		for i := range len(nodes) / 3 {
			replacement := newNode(fmt.Sprint("r-", i, random.Uint32()), nodes[i].domain, nodes[i].region, nodes[i].slots)
			nodes = slices.Delete(slices.Clone(nodes), i, i+1)
			step(nodes)
			nodes = slices.Insert(slices.Clone(nodes), i, replacement)
			step(nodes)
		}
	}},
}

func evacuate(nodes []*node, evacuated bool) {
	for _, n := range nodes {
		if n.domain == "a-1" {
			n.evacuated = evacuated
		}
	}
}

// measure plays a change and returns what moved.
func measure(c change, seed uint64, newOrdering func(region string) ordering) *movement {
	random := rand.New(rand.NewPCG(seed, 5))
	nodes := newFleet(random, c.servers)
	m := newMovement(newOrdering, c.objects)
	m.step(nodes)
	c.steps(random, nodes, m.step)
	return m
}

// viewDifference returns how often the first servers of an object differ between two VMs of
// a region, of which each has not heard yet of a part of 12 servers that replace 12
// others, and the share of the slots in which their views differ.
func viewDifference(seed uint64, newOrdering func(region string) ordering) (differs, minimum float64) {
	const vms, replaced = 6, 12
	random := rand.New(rand.NewPCG(seed, 6))
	nodes := newFleet(random, measuredServers)
	replacements := newFleet(random, replaced)
	views := [vms][]*node{}
	orderings := [vms]ordering{}
	for i := range vms {
		view := slices.Clone(nodes)
		for j, n := range replacements {
			if random.IntN(2) == 0 {
				view[j] = n
			}
		}
		views[i], orderings[i] = view, newOrdering(measuredRegions[i%3])
		orderings[i].update(nodes) // all VMs knew the same servers before
		orderings[i].first("", 1)
		orderings[i].update(view)
	}
	for a := range vms / 2 {
		b := a + 3
		different := 0.0
		for i := range replaced {
			if views[a][i] != views[b][i] {
				different += float64(views[a][i].slots + views[b][i].slots)
			}
		}
		minimum += different / totalSlots(nodes) / 3
		for object := range measuredObjects {
			name := fmt.Sprint("object-", object)
			if orderings[a].first(name, 1)[0] != orderings[b].first(name, 1)[0] {
				differs += 1.0 / measuredObjects / 3
			}
		}
	}
	return differs, minimum
}

// benchmarkMoves reports the figures of docs/measurements/objects.md.
func benchmarkMoves(b *testing.B, newOrdering func(region string) ordering) {
	const seed = 1
	for _, c := range changes {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				m := measure(c, seed, newOrdering)
				b.ReportMetric(100*m.firsts, "%first")
				b.ReportMetric(100*m.nears, "%few")
				b.ReportMetric(100*m.minimum, "%minimum")
				b.ReportMetric(m.firsts/m.minimum, "first/minimum")
				b.ReportMetric(m.nears/m.minimum, "few/minimum")
				b.ReportMetric(100*m.deviation(byRegion), "%region")
				b.ReportMetric(100*m.deviation(byDomain), "%domain")
				b.ReportMetric(100*m.deviation(bySlots), "%slots")
				b.ReportMetric(100*m.serverDeviation(), "%server")
			}
		})
	}
	b.Run("views differ", func(b *testing.B) {
		const seeds = 8
		for range b.N {
			differs, minimum := 0.0, 0.0
			for seed := range uint64(seeds) {
				d, m := viewDifference(seed, newOrdering)
				differs, minimum = differs+d/seeds, minimum+m/seeds
			}
			b.ReportMetric(100*differs, "%first")
			b.ReportMetric(100*minimum, "%minimum")
			b.ReportMetric(differs/minimum, "first/minimum")
		}
	})
}
