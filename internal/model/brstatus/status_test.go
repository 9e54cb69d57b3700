package brstatus_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
)

func TestMergeDropsDuplicateNotices(t *testing.T) {
	fingerprint := brrequest.NewFingerprint("entries", "GET", "/deadly", nil, 0)
	one := brrequest.NewPoisonNotice(fingerprint, "server-1")
	two := brrequest.NewPoisonNotice(fingerprint, "server-2")
	a := brstatus.New([]string{"vm-1"}, nil, nil).WithPoison([]brrequest.PoisonNotice{one})
	b := brstatus.New([]string{"vm-2"}, nil, nil).WithPoison([]brrequest.PoisonNotice{one, two})
	require.Equal(t, []brrequest.PoisonNotice{one, two}, a.Merge(b).Poison())
	require.Equal(t, []brrequest.PoisonNotice{one}, a.Poison(), "the operands stay unchanged")
	require.Equal(t, []string{"vm-1", "vm-2"}, a.Merge(b).Members())
}
