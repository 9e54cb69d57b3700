package brplatform

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"bergamotroad.example/bergamotroad/internal/peer/brvmlist"
)

// VMList is an in-memory list of VMs. It implements brvmlist.List and, as an
// http.Handler, the server side of the protocol that brvmlist.Client uses.
type VMList struct {
	mutex   sync.Mutex
	faults  *Faults
	entries []brvmlist.Entry
}

// NewVMList returns an empty list.
func NewVMList(faults *Faults) *VMList {
	return &VMList{faults: faults}
}

// Set replaces the list.
func (v *VMList) Set(entries []brvmlist.Entry) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.entries = slices.Clone(entries)
}

// List returns a copy of the list.
func (v *VMList) List(ctx context.Context) ([]brvmlist.Entry, error) {
	if err := v.faults.beforeCall(ctx); err != nil {
		return nil, err
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return slices.Clone(v.entries), nil
}

type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// ServeHTTP serves the list.
func (v *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	entries, err := v.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	groups := []targetGroup{}
	for _, e := range entries {
		groups = append(groups, targetGroup{
			Targets: []string{e.Address()},
			Labels:  map[string]string{"name": e.Name(), "state": entryState(e)},
		})
	}
	writeJSON(w, groups)
}

func entryState(entry brvmlist.Entry) string {
	if entry.Leaving() {
		return "leaving"
	}
	return "live"
}
