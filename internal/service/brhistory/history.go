// Package brhistory merges the event timelines of all VMs.
//
// Each VM of the configuration is read separately. If a VM does not respond, the page
// holds the events of the others and lists the VM as missing. A cursor holds the
// position up to which each VM has been read.
//
// # Usage
//
//	history := brhistory.New("vm-1", timeline, configuration, dial)
//	page, err := history.Read(ctx, brhistory.NewQuery(brevent.Filter{}, 100))
//	next, err := history.Read(ctx, brhistory.NewQuery(brevent.Filter{}, 100).After(page.Cursor()))
package brhistory

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

const (
	maxEventsInMemory  = 100_000 // events of all VMs that a query holds in memory
	maxConcurrentReads = 32      // VMs that are read concurrently
	readTimeout        = 5 * time.Second
)

// LocalTimeline is the timeline of this VM.
type LocalTimeline interface {
	// Read returns up to limit events after a position.
	Read(ctx context.Context, after uint64, limit int) (brtimeline.Page, error)
	// Observe advances the VM's clock past a timestamp of another VM.
	Observe(timestamp brclock.Timestamp)
}

// Peer is another entry VM.
type Peer interface {
	// ReadEvents returns up to limit events of the VM after a position.
	ReadEvents(ctx context.Context, after uint64, limit int) (brtimeline.Page, error)
}

// ConfigurationSource supplies the configuration.
type ConfigurationSource interface {
	// Snapshot returns the configuration as this VM's replica has it.
	Snapshot(ctx context.Context) (*brconfig.Snapshot, error)
}

// History reads the timelines of all VMs.
type History struct {
	vm            string
	localTimeline LocalTimeline
	configuration ConfigurationSource
	dial          func(address string) Peer
}

// New returns the history as read by a VM; dial returns a client for the VM at a
// host:port.
func New(vm string, localTimeline LocalTimeline, configuration ConfigurationSource, dial func(address string) Peer) *History {
	return &History{vm: vm, localTimeline: localTimeline, configuration: configuration, dial: dial}
}

// Read returns the events that match a query, ordered by their timestamps.
func (h *History) Read(ctx context.Context, query Query) (Page, error) {
	snapshot, err := h.configuration.Snapshot(ctx)
	if err != nil {
		return Page{}, errors.Errorf("read VMs: %w", err)
	}
	sources := h.sources(snapshot, query)
	limitPerVM := min(query.limit, max(maxEventsInMemory/max(len(sources), 1), 1))
	timelines := h.readAll(ctx, sources, query, limitPerVM)
	page := merge(timelines, query)
	if len(page.events) > 0 {
		h.localTimeline.Observe(page.events[len(page.events)-1].Timestamp())
	}
	return page, nil
}

// source is one VM to be read.
type source struct {
	vm   string
	read func(ctx context.Context, after uint64, limit int) (brtimeline.Page, error)
}

// sources returns the VMs that have to be read for a query. This VM is a candidate even
// if the configuration does not contain it.
func (h *History) sources(snapshot *brconfig.Snapshot, query Query) []source {
	found := []source{}
	if query.includes(h.vm) {
		found = append(found, source{vm: h.vm, read: h.localTimeline.Read})
	}
	if !query.allVMs {
		return found
	}
	for v := range snapshot.VMs().All() {
		if v.Name() != h.vm && query.includes(v.Name()) {
			found = append(found, source{vm: v.Name(), read: h.dial(v.PeerAddress()).ReadEvents})
		}
	}
	return found
}

// readAll reads the sources concurrently, at most maxConcurrentReads at a time.
func (h *History) readAll(ctx context.Context, sources []source, query Query, limit int) []vmEvents {
	timelines := make([]vmEvents, len(sources))
	semaphore := make(chan struct{}, maxConcurrentReads)
	wait := sync.WaitGroup{}
	for i, s := range sources {
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			limited, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			timelines[i] = readVM(limited, s, query, limit)
		})
	}
	wait.Wait()
	return timelines
}

// merge merges the events of all VMs in order. Without a cursor, it keeps only the
// newest events up to the query's limit.
func merge(timelines []vmEvents, query Query) Page {
	page := Page{cursor: Cursor{}}
	for _, t := range timelines {
		page.cursor[t.vm] = t.position
		if t.err != nil {
			page.missing = append(page.missing, t.vm)
		}
		page.events = append(page.events, t.events...)
	}
	for vm, position := range query.cursor {
		if _, ok := page.cursor[vm]; !ok {
			page.cursor[vm] = position
		}
	}
	slices.SortStableFunc(page.events, func(a, b brevent.Event) int {
		return cmp.Or(a.Timestamp().Compare(b.Timestamp()), cmp.Compare(a.VM(), b.VM()))
	})
	if query.cursor == nil && len(page.events) > query.limit {
		page.events = page.events[len(page.events)-query.limit:]
	}
	return page
}
