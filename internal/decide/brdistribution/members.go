package brdistribution

import (
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// Members returns the VMs of a configuration, merged with those of other sources
// such as the platform's list or the settings. VMs that only the other sources
// list are added; the configuration's VMs take their state from the other sources,
// so that a VM that has left is returned with that state.
func Members(snapshot *brconfig.Snapshot, others []brmember.Member) brmember.List {
	members := []brmember.Member{}
	known := map[string]int{}
	for v := range snapshot.VMs().All() {
		if v.PeerAddress() == "" {
			continue
		}
		known[v.Name()] = len(members)
		members = append(members, brmember.New(v.Name(), domainOf(snapshot, v), v.PeerAddress()))
	}
	for _, m := range others {
		i, exists := known[m.Name()]
		if !exists {
			members = append(members, m)
			continue
		}
		members[i] = members[i].WithState(m.State())
	}
	return brmember.NewList(members)
}

func domainOf(snapshot *brconfig.Snapshot, v brconfig.VM) string {
	site, ok := snapshot.Sites().Get(v.Site()).Get()
	if !ok {
		return ""
	}
	return site.Domain()
}
