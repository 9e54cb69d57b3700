package brentry

import (
	"sync"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/duty/brspreading"
)

// maxPins bounds the states that are kept for fetches in progress. States share
// most of their memory.
const maxPins = 16

// pins keeps the states whose snapshots other VMs are fetching in pieces. The
// oldest one is dropped for a new one.
type pins struct {
	mutex  sync.Mutex
	states []brspreading.State
}

func (p *pins) add(state brspreading.State) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range p.states {
		if s.Head() == state.Head() {
			return
		}
	}
	if len(p.states) == maxPins {
		p.states = append([]brspreading.State{}, p.states[1:]...)
	}
	p.states = append(p.states, state)
}

func (p *pins) get(generation uint64) broption.Option[brspreading.State] {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range p.states {
		if s.Head().Generation() == generation {
			return broption.Some(s)
		}
	}
	return broption.None[brspreading.State]()
}
