package braccess_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

var zeroTime time.Time

func meta(name, team string) brconfig.Meta { return brconfig.NewMeta(name).WithTeam(team) }

func TestTeamsChangeOnlyTheirOwnResources(t *testing.T) {
	snapshot, err := brconfig.NewSnapshot().Apply(1, []brconfig.Change{
		brconfig.Put(brconfig.NewOrganisation(meta("theirs", "rojo"))),
		brconfig.Put(brconfig.NewOrganisation(meta("ours", "azul"))),
	})
	require.NoError(t, err)
	editor := brprincipal.New("ana", "azul", brconfig.RoleEditor)
	administrator := brprincipal.New("eva", "azul", brconfig.RoleAdministrator)
	viewer := brprincipal.New("leo", "azul", brconfig.RoleViewer)
	platform := brprincipal.New("root", "", brconfig.RoleAdministrator)
	platformEditor := brprincipal.New("ops", "", brconfig.RoleEditor)
	token := brconfig.Put(brconfig.NewToken(meta("t", "azul"), "00", brconfig.RoleViewer))
	platformToken := brconfig.Put(brconfig.NewToken(meta("t", ""), "00", brconfig.RoleAdministrator))
	for _, c := range []struct {
		name      string
		principal brprincipal.Principal
		change    brconfig.Change
		allowed   bool
	}{
		{"own organisation", editor, brconfig.Put(brconfig.NewOrganisation(meta("ours", "azul"))), true},
		{"own organisation by a viewer", viewer, brconfig.Put(brconfig.NewOrganisation(meta("ours", "azul"))), false},
		{"organisation taken over from another team", editor, brconfig.Put(brconfig.NewOrganisation(meta("theirs", "azul"))), false},
		{"organisation moved to another team", editor, brconfig.Put(brconfig.NewOrganisation(meta("ours", "rojo"))), false},
		{"deletion of another team's organisation", editor, brconfig.Delete(brconfig.NewReference(brconfig.KindOrganisation, "theirs")), false},
		{"key of own organisation", editor, brconfig.Put(brconfig.NewKey(meta("k", "azul"), "ours", "00")), true},
		{"key of another team's organisation", editor, brconfig.Put(brconfig.NewKey(meta("k", "azul"), "theirs", "00")), false},
		{"region by a team", editor, brconfig.Put(brconfig.NewRegion(meta("r", "azul"))), false},
		{"drain of a region", editor, brconfig.Put(brconfig.NewDrain(meta("d", "azul"), brconfig.NewReference(brconfig.KindRegion, "r"), zeroTime, zeroTime)), false},
		{"token by an editor", editor, token, false},
		{"token by an administrator", administrator, token, true},
		{"platform token by a team", administrator, platformToken, false},
		{"team by a team", administrator, brconfig.Put(brconfig.NewTeam(meta("azul", "azul"))), false},
		{"platform token by an editor", platformEditor, platformToken, false},
		{"region by the platform team", platform, brconfig.Put(brconfig.NewRegion(meta("r", ""))), true},
		{"deletion of a team's organisation by the platform team", platform, brconfig.Delete(brconfig.NewReference(brconfig.KindOrganisation, "theirs")), true},
	} {
		err := braccess.Check(c.principal, snapshot, []brconfig.Change{c.change})
		require.Equal(t, c.allowed, err == nil, "%s: %v", c.name, err)
		require.Equal(t, !c.allowed, braccess.IsErrDenied(err), c.name)
	}
}

func TestLockoutOfPlatformTeamIsDenied(t *testing.T) {
	team := brconfig.Put(brconfig.NewTeam(meta("azul", "")))
	root := brconfig.Put(brconfig.NewToken(meta("root", ""), "01", brconfig.RoleAdministrator))
	ana := brconfig.Put(brconfig.NewToken(meta("ana", "azul"), "02", brconfig.RoleAdministrator))
	deleteToken := func(name string) brconfig.Change {
		return brconfig.Delete(brconfig.NewReference(brconfig.KindToken, name))
	}
	for _, c := range []struct {
		changes []brconfig.Change
		allowed bool
	}{
		{[]brconfig.Change{team, ana}, false},
		{[]brconfig.Change{team, root, ana}, true},
		{[]brconfig.Change{team, root, ana, deleteToken("root")}, false},
		{[]brconfig.Change{team, root, ana, deleteToken("root"), deleteToken("ana")}, true},
		{[]brconfig.Change{team}, true},
	} {
		next, err := brconfig.NewSnapshot().Apply(1, c.changes)
		require.NoError(t, err)
		require.Equal(t, c.allowed, braccess.CheckLockout(next, c.changes) == nil)
	}
}

// A token authenticates its holder only, and the bootstrap token is rejected once
// the configuration contains a token.
func TestIdentifyAuthenticatesByToken(t *testing.T) {
	policy := braccess.NewPolicy().WithBootstrapToken("00")
	empty := brconfig.NewSnapshot()
	bootstrap, ok := policy.Identify(empty, "00").Get()
	require.True(t, ok)
	require.True(t, bootstrap.IsPlatform())
	require.False(t, policy.Identify(empty, "").IsPresent())
	require.False(t, policy.Identify(empty, "01").IsPresent())
	require.False(t, braccess.NewPolicy().Identify(empty, "").IsPresent())

	snapshot, err := empty.Apply(1, []brconfig.Change{brconfig.Put(brconfig.NewToken(meta("root", ""), "01", brconfig.RoleEditor))})
	require.NoError(t, err)
	require.False(t, policy.Identify(snapshot, "00").IsPresent())
	require.False(t, policy.IsCurrent(snapshot, bootstrap))
	root, ok := policy.Identify(snapshot, "01").Get()
	require.True(t, ok)
	require.Equal(t, "root", root.Name())
	require.True(t, policy.IsCurrent(snapshot, root))
	changed, err := snapshot.Apply(2, []brconfig.Change{brconfig.Put(brconfig.NewToken(meta("root", ""), "01", brconfig.RoleViewer))})
	require.NoError(t, err)
	require.False(t, policy.IsCurrent(changed, root))
}
