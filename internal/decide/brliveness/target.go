package brliveness

import (
	"slices"
	"strconv"

	"bergamotroad.example/bergamotroad/internal/model/brmember"
)

// Targets returns the VMs to ping in this round.
func (v *View) Targets() []brmember.Member {
	targets := v.successors()
	add := func(m brmember.Member) {
		if !slices.ContainsFunc(targets, func(t brmember.Member) bool { return t.Name() == m.Name() }) {
			targets = append(targets, m)
		}
	}
	for _, m := range v.roundRobin() {
		add(m)
	}
	dead := []brmember.Member{}
	for _, m := range v.members {
		r, ok := v.records[m.Name()]
		switch {
		case !ok:
		case r.state == brmember.StateDead:
			dead = append(dead, m)
		case r.misses > 0 || r.state == brmember.StateSuspected && v.confirms(m.Name()):
			add(m)
		}
	}
	if len(dead) > 0 && v.round%deadPingPeriod == 0 {
		v.nextDead++
		add(dead[v.nextDead%len(dead)])
	}
	return targets
}

// roundRobin returns the next VM of another failure domain and the next one of this
// domain, or catchUpRate of each while catching up after a pause or isolation.
func (v *View) roundRobin() []brmember.Member {
	count := 1
	if v.catchUpLeft > 0 {
		count = catchUpRate
		v.catchUpLeft -= count
	}
	targets := []brmember.Member{}
	for range count {
		v.nextPeer++
		for _, group := range [][]brmember.Member{v.otherDomains, v.sameDomain} {
			if len(group) > 0 {
				targets = append(targets, group[v.nextPeer%len(group)])
			}
		}
	}
	return targets
}

// LeaveTargets returns the VMs to notify when this VM leaves: its ring successors
// and one living VM of each other failure domain.
func (v *View) LeaveTargets() []brmember.Member {
	targets := v.successors()
	domains := map[string]bool{}
	for _, m := range v.otherDomains {
		if !domains[m.Domain()] && v.records[m.Name()].state == brmember.StateAlive {
			domains[m.Domain()] = true
			targets = append(targets, m)
		}
	}
	return targets
}

// successors returns the successors of this VM in the hash rings of its domain.
func (v *View) successors() []brmember.Member {
	targets := make([]brmember.Member, 0, rings+2)
	for ring := range rings {
		m, ok := v.successor(strconv.Itoa(ring))
		if ok && !slices.ContainsFunc(targets, func(t brmember.Member) bool { return t.Name() == m.Name() }) {
			targets = append(targets, m)
		}
	}
	return targets
}

// successor returns the VM with the next higher hash, wrapping around to the
// lowest.
func (v *View) successor(salt string) (brmember.Member, bool) {
	if len(v.sameDomain) == 0 {
		return brmember.Member{}, false
	}
	own := hash(salt, v.self)
	distance := func(m brmember.Member) uint64 { return hash(salt, m.Name()) - own }
	return slices.MinFunc(v.sameDomain, func(a, b brmember.Member) int {
		if distance(a) < distance(b) {
			return -1
		}
		return 1
	}), true
}

// confirms reports whether this VM is among those that check a suspicion.
func (v *View) confirms(subject string) bool {
	own := hash(subject, v.self)
	above := 0
	for _, m := range v.sameDomain {
		if m.Name() != subject && hash(subject, m.Name()) > own {
			above++
		}
	}
	return above < confirmers
}
