package brplacement_test

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/model/brfleet"
)

// The order of servers for an object changes with a release, so that all caches of a
// fleet are lost at once. Where all slots are equal, the first four servers for an object
// must be those of earlier releases. The digests were computed with their code.
func TestOrderOfServersOfEqualSlotsIsThatOfEarlierReleases(t *testing.T) {
	uneven := servers(20)
	for i := range uneven[:7] {
		uneven[i] = uneven[i].WithLocation("a-1", "a")
	}
	two := servers(24)
	for i := range two {
		two[i] = two[i].WithLocation(domains[i%4].domain, domains[i%4].region)
	}
	for _, c := range []struct {
		name   string
		list   []brfleet.Server
		digest string
	}{
		{"one server", servers(1), "c97340b27aa5bdca"},
		{"two regions", two, "313962eb493dbb83"},
		{"three regions", servers(48), "33937d2b8c46ca11"},
		{"regions of unequal size", uneven, "aa42a701ecacfe56"},
	} {
		t.Run(c.name, func(t *testing.T) {
			digest := xxhash.New()
			for _, region := range []string{"a", "b", "c", "elsewhere"} {
				for object := range 500 {
					p := newPlacer("vm-1", region, view(c.list, nil, nil))
					order := [4]string{}
					for choice, ok := p.Pick(start, newQuery("r", fmt.Sprint(object))); ok; choice, ok = p.Pick(start, newQuery("r", fmt.Sprint(object))) {
						order[choice.Rank()] = choice.Server().ID()
					}
					require.NotEmpty(t, order[min(len(c.list), 4)-1])
					_, err := fmt.Fprintln(digest, object, order)
					require.NoError(t, err)
				}
			}
			require.Equal(t, c.digest, hex.EncodeToString(digest.Sum(nil)))
		})
	}
}
