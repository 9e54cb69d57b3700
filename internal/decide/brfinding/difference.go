package brfinding

import (
	"cmp"
	"maps"
	"slices"

	"bergamotroad.example/bergamotroad/internal/model/brdeclaration"
)

// Action tells how a resource differs between two versions.
type Action string

// The actions.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// Difference is a resource that differs between two versions of a configuration. It is
// immutable.
type Difference struct {
	action Action
	kind   string
	name   string
	fields []string
}

// Action returns how the resource differs.
func (d Difference) Action() Action { return d.action }

// Kind returns the kind of the resource.
func (d Difference) Kind() string { return d.kind }

// Name returns the name of the resource.
func (d Difference) Name() string { return d.name }

// Fields returns the fields that differ, in ascending order. The slice must not be modified.
func (d Difference) Fields() []string { return d.fields }

type resourceKey struct {
	kind string
	name string
}

// Compare returns the resources that differ, by kind and name.
func Compare(before, after []brdeclaration.Declaration) []Difference {
	old, current := byResource(before), byResource(after)
	differences := []Difference{}
	for key, declaration := range current {
		former, existed := old[key]
		switch fields := changedFields(former, declaration); {
		case !existed:
			differences = append(differences, Difference{action: ActionAdded, kind: key.kind, name: key.name})
		case len(fields) > 0:
			differences = append(differences, Difference{action: ActionChanged, kind: key.kind, name: key.name, fields: fields})
		default:
		}
	}
	for key := range old {
		if _, exists := current[key]; !exists {
			differences = append(differences, Difference{action: ActionRemoved, kind: key.kind, name: key.name})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
	return differences
}

// CheckDeclarations returns a finding for each resource that is declared more than once. What
// takes effect depends on its kind; mostly it is the last declaration alone.
func CheckDeclarations(declarations []brdeclaration.Declaration) []Finding {
	found := findings{}
	earlier := map[resourceKey]brdeclaration.Declaration{}
	for _, d := range declarations {
		key := resourceKey{kind: d.Kind(), name: d.Name()}
		if first, ok := earlier[key]; ok {
			found.add(SeverityWarning, CodeDuplicate, key.kind, key.name, "", "is declared in %s:%d too", first.File(), first.Line())
			continue
		}
		earlier[key] = d
	}
	return found.sorted()
}

func byResource(declarations []brdeclaration.Declaration) map[resourceKey]brdeclaration.Declaration {
	resources := make(map[resourceKey]brdeclaration.Declaration, len(declarations))
	for _, d := range declarations {
		resources[resourceKey{kind: d.Kind(), name: d.Name()}] = d
	}
	return resources
}

func changedFields(before, after brdeclaration.Declaration) []string {
	all := maps.Clone(before.Fields())
	if all == nil {
		all = map[string]string{}
	}
	maps.Copy(all, after.Fields())
	fields := []string{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		old, had := before.Fields()[name]
		if value, has := after.Fields()[name]; had != has || old != value {
			fields = append(fields, name)
		}
	}
	return fields
}
