package brfinding_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brfinding"
	"bergamotroad.example/bergamotroad/internal/model/brdeclaration"
)

// An operator compares a configuration with the version in force before it is written. No
// difference may be missing, and the order of resources is none.
func TestCompareListsAllDifferences(t *testing.T) {
	declare := func(name, timeout string) brdeclaration.Declaration {
		return brdeclaration.New("route", name, 1).WithField("timeout", timeout).WithField("service", `"one"`)
	}
	before := []brdeclaration.Declaration{declare("same", "1"), declare("changed", "1"), declare("removed", "1"), declare("lost", "1")}
	after := []brdeclaration.Declaration{declare("added", "1"), declare("changed", "2").WithField("public", "true"), declare("same", "1"), brdeclaration.New("route", "lost", 1).WithField("service", `"one"`)}
	type difference struct {
		action brfinding.Action
		name   string
		fields []string
	}
	list := []difference{}
	for _, d := range brfinding.Compare(before, after) {
		require.Equal(t, "route", d.Kind())
		list = append(list, difference{d.Action(), d.Name(), d.Fields()})
	}
	require.Equal(t, []difference{
		{brfinding.ActionAdded, "added", nil},
		{brfinding.ActionChanged, "changed", []string{"public", "timeout"}},
		{brfinding.ActionChanged, "lost", []string{"timeout"}},
		{brfinding.ActionRemoved, "removed", nil},
	}, list)
}

// A resource is declared in two files, and one of them silently has no effect.
func TestResourceDeclaredTwiceIsFound(t *testing.T) {
	list := brfinding.CheckDeclarations([]brdeclaration.Declaration{
		brdeclaration.New("route", "r", 3).WithFile("a.json"), brdeclaration.New("service", "r", 4), brdeclaration.New("route", "r", 9),
	})
	require.Equal(t, []found{{brfinding.SeverityWarning, brfinding.CodeDuplicate, "route/r", ""}}, summary(list))
	require.Contains(t, list[0].Message(), "a.json:3")
}
