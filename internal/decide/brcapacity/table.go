package brcapacity

import (
	"fmt"
	"slices"
	"strings"
)

// Tables returns the generated tables of the capacity page in Markdown, by table
// name.
func (m *Model) Tables() map[string]string {
	ordinary := slices.Concat(m.Lookups(), m.Shares(), m.Follower(), m.MembershipMonitor(), m.Moves())
	loads := []load{
		{"VM", ordinary},
		{"VM that polls and distributes", slices.Concat(ordinary, m.Distributor())},
		{"VM that processes all changes", slices.Concat(ordinary, m.Operators())},
	}
	planned := []load{}
	for _, l := range loads {
		planned = append(planned, load{name: l.name, lines: Planned(l.lines)})
	}
	return map[string]string{
		"slopes":    m.slopeTable(),
		"budgets":   budgetTable(loads, VMBudgets()),
		"planned":   budgetTable(planned, VMBudgets()),
		"store":     budgetTable([]load{{"table", m.TableLoad()}, {"object store", m.ObjectStoreLoad()}, {"VM list", m.VMListLoad()}}, StoreBudgets()),
		"lookups":   lineTable(m.Lookups()),
		"shares":    lineTable(m.Shares()),
		"follower":  lineTable(m.Follower()),
		"spreader":  lineTable(m.Distributor()),
		"watcher":   lineTable(m.MembershipMonitor()),
		"operators": lineTable(m.Operators()),
		"moves":     lineTable(m.Moves()),
		"platform":  lineTable(slices.Concat(m.TableLoad(), m.ObjectStoreLoad(), m.VMListLoad())),
		"day":       dayTable(m.Events()),
	}
}

// load is the total usage of a VM or a store in all its roles.
type load struct {
	name  string
	lines []Line
}

func (m *Model) slopeTable() string {
	rows := [][]string{}
	for _, s := range Slopes() {
		f := m.fits[s]
		rows = append(rows, []string{
			s.name, s.dimension, f.sizes(), s.unit, formatNumber(f.intercept), formatNumber(f.slope), formatNumber(f.residual), "`" + s.Command() + "`",
		})
	}
	return markdown([]string{"cost", "over", "sizes", "unit", "cost at size 0", "slope", "largest residual", "command"}, rows)
}

func (f Fit) sizes() string {
	sizes := []string{}
	for _, size := range slices.Compact(slices.Sorted(slices.Values(f.series.sizes))) {
		sizes = append(sizes, formatNumber(size))
	}
	return strings.Join(sizes, "; ")
}

func lineTable(lines []Line) string {
	rows := [][]string{}
	for _, l := range lines {
		rows = append(rows, []string{l.role, l.resource, l.Text(), l.mechanism, l.Arithmetic()})
	}
	return markdown([]string{"role", "resource", "usage at the target size", "mechanism", "arithmetic"}, rows)
}

func budgetTable(loads []load, budgets []Budget) string {
	rows := [][]string{}
	for _, l := range loads {
		for _, b := range budgets {
			rows = append(rows, []string{l.name, b.resource, b.Text(l.lines), b.Limit(), budgetResult(b, l.lines)})
		}
	}
	return markdown([]string{"of", "resource", "sum", "budget", ""}, rows)
}

func budgetResult(b Budget, lines []Line) string {
	text := "within"
	if b.Over(lines) {
		text = "**over**"
	}
	for _, l := range lines {
		if l.resource == b.resource && l.Estimated() {
			return text + ", partly estimated"
		}
	}
	return text
}

func dayTable(events []Event) string {
	var page strings.Builder
	for _, e := range events {
		rows := [][]string{}
		for _, l := range e.lines {
			rows = append(rows, []string{l.resource, l.Text(), l.mechanism, l.Arithmetic()})
		}
		fmt.Fprintf(&page, "**%s.** %s\n\n%s\n", e.name, e.description, markdown([]string{"what", "figure", "mechanism", "arithmetic"}, rows))
	}
	return strings.TrimSuffix(page.String(), "\n")
}

func markdown(head []string, rows [][]string) string {
	var table strings.Builder
	writeRow := func(cells []string) { fmt.Fprintf(&table, "| %s |\n", strings.Join(cells, " | ")) }
	writeRow(head)
	writeRow(slices.Repeat([]string{"---"}, len(head)))
	for _, row := range rows {
		writeRow(row)
	}
	return table.String()
}
