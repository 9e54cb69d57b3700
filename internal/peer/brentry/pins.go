package brentry

import (
	"sync"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
)

// maxPinnedStates bounds the states that are kept for fetches in progress. States share
// most of their memory.
const maxPinnedStates = 16

// pinnedStates keeps the states whose snapshots other VMs are fetching in pieces. The
// oldest one is dropped for a new one.
type pinnedStates struct {
	mutex  sync.Mutex
	states []brdistributor.State
}

func (p *pinnedStates) add(state brdistributor.State) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range p.states {
		if s.Head() == state.Head() {
			return
		}
	}
	if len(p.states) == maxPinnedStates {
		p.states = append([]brdistributor.State{}, p.states[1:]...)
	}
	p.states = append(p.states, state)
}

func (p *pinnedStates) get(generation uint64) broption.Option[brdistributor.State] {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range p.states {
		if s.Head().Generation() == generation {
			return broption.Some(s)
		}
	}
	return broption.None[brdistributor.State]()
}
