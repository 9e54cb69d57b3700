package brforward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/decide/brforward"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// chooserOf returns the chooser of montevideo-a over four domains with a server
// and a VM each: two in its own region, one in a near and one in a far region.
func chooserOf(t *testing.T) *brforward.Chooser {
	t.Helper()
	changes := []brconfig.Change{brconfig.Put(brconfig.NewService(brconfig.NewMeta("lookup")))}
	for _, region := range []string{"montevideo", "este", "litoral"} {
		changes = append(changes, brconfig.Put(brconfig.NewRegion(brconfig.NewMeta(region))))
	}
	regions := map[string]string{"montevideo-a": "montevideo", "montevideo-b": "montevideo", "este-a": "este", "litoral-a": "litoral"}
	for domain, region := range regions {
		changes = append(changes,
			brconfig.Put(brconfig.NewDomain(brconfig.NewMeta(domain), region)),
			brconfig.Put(brconfig.NewSite(brconfig.NewMeta(domain), domain)),
			brconfig.Put(brconfig.NewVM(brconfig.NewMeta("vm-"+domain), domain, "", "")),
			brconfig.Put(brconfig.NewServer(brconfig.NewMeta("lookup-"+domain), "lookup", domain, "", 3)))
	}
	changes = append(changes,
		brconfig.Put(brconfig.NewLink(brconfig.NewMeta("near"), "montevideo", "este", 1, 6*time.Millisecond)),
		brconfig.Put(brconfig.NewLink(brconfig.NewMeta("far"), "montevideo", "litoral", 1, 9*time.Millisecond)))
	snapshot, err := brconfig.NewSnapshot().Apply(1, changes)
	require.NoError(t, err)
	chooser := brforward.NewChooser("montevideo-a")
	chooser.Update(snapshot)
	return chooser
}

// domainsOf returns the domains in the order in which the chooser tries them.
func domainsOf(chooser *brforward.Chooser, now time.Time) []string {
	domains := []string{}
	for {
		target, ok := chooser.Next(now, "lookup", domains).Get()
		if !ok {
			return domains
		}
		domains = append(domains, target.Domain())
	}
}

func TestDomainsAreOrderedByDistanceWithoutTheOwn(t *testing.T) {
	require.Equal(t, []string{"montevideo-b", "este-a", "litoral-a"}, domainsOf(chooserOf(t), start))
}

func TestFailingDomainIsSkippedForIncreasingTime(t *testing.T) {
	for kind, pause := range map[brrequest.OutcomeKind]time.Duration{
		brrequest.OutcomeNotSent: 500 * time.Millisecond,
		brrequest.OutcomeShed:    100 * time.Millisecond,
	} {
		chooser := chooserOf(t)
		target, ok := chooser.Next(start, "lookup", nil).Get()
		require.True(t, ok)
		chooser.Report(start, target, kind)
		require.Equal(t, []string{"este-a", "litoral-a"}, domainsOf(chooser, start.Add(pause-1)))
		require.Len(t, domainsOf(chooser, start.Add(pause)), 3)
		chooser.Report(start.Add(pause), target, kind)
		require.Len(t, domainsOf(chooser, start.Add(2*pause)), 2, "the second pause is longer")
	}
}
