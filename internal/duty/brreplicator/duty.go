// Package brreplicator provides the duty that owns this VM's replica of the
// store's records and derives from it the view of the fleet that other duties use.
//
// Batches of records come from the store or from another VM. Each change of a
// record is logged, a new view is sent to the subscribers' rings, and other VMs
// that wait for changes get them.
//
// # Usage
//
//	replicator := brreplicator.New(clock, decoder, journal)
//	replicator.Subscribe(assigner.Views())
//	replicator.Apply(batch, asOf, "store")
//	batches, err := replicator.Await(ctx, revisions, 400*time.Millisecond)
package brreplicator

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/decide/brreplica"
	"bergamotroad.example/bergamotroad/internal/duty/brjournal"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
)

const queueCapacity = 1024 // messages

// State is the published state of the replica. It is immutable.
type State struct {
	view      *brfleet.View
	revisions brrecord.Revisions
	asOf      [brrecord.AreaCount]time.Time
	results   map[string]brreplica.Result // by service
	lostVMs   brset.Set[string]           // registrations that the store has lost
}

// View returns the view of the fleet.
func (s *State) View() *brfleet.View { return s.view }

// Revisions returns the revision up to which each area is known.
func (s *State) Revisions() brrecord.Revisions { return s.revisions }

// IsKnown reports whether any data of an area has been received.
func (s *State) IsKnown(area brrecord.Area) bool {
	return s.revisions[area] > 0 || !s.asOf[area].IsZero()
}

// Age returns the time since an area was last known to be up to date.
func (s *State) Age(now time.Time, area brrecord.Area) time.Duration { return now.Sub(s.asOf[area]) }

// Result returns what the store has of a service's last result.
func (s *State) Result(service string) brreplica.Result { return s.results[service] }

// HasLostVM reports whether the store has lost the registration of a VM that is still listed in
// the view.
func (s *State) HasLostVM(name string) bool { return s.lostVMs.Has(name) }

type message struct {
	batch brrecord.Batch
	asOf  time.Time
	from  string

	failedRead  timeSpan
	peerAnswers time.Time

	known brrecord.Revisions
	until time.Time
	reply brring.Reply[[]brrecord.Batch]
}

// timeSpan is the time from start to end.
type timeSpan struct {
	start time.Time
	end   time.Time
}

// Replicator is the handle of the duty; its methods may be called from any goroutine.
type Replicator struct {
	duty    *brduty.Duty[message, struct{}]
	clock   brclock.Clock
	handler *handler
	replies *brring.ReplyPool[[]brrecord.Batch]
}

// New returns the duty with an empty replica.
func New(clock brclock.Clock, decoder brreplica.Decoder, journal *brjournal.Journal) *Replicator {
	unreadable := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bergamotroad_unreadable_records_total",
		Help: "Records of the store that could not be decoded, by area.",
	}, []string{"area"})
	h := &handler{clock: clock, journal: journal, replica: brreplica.New(decoder), unreadable: unreadable}
	h.state.Store(&State{view: brfleet.NewView(brfleet.Policy{}, nil, nil, nil, emptyDomains())})
	return &Replicator{
		duty:    brduty.New[message, struct{}]("replicating", h, clock, brduty.WithCapacity(queueCapacity)),
		clock:   clock,
		handler: h,
		replies: brring.NewReplyPool[[]brrecord.Batch](),
	}
}

// Duty returns the runner to be passed to a brduty.Group.
func (r *Replicator) Duty() brduty.Runner { return r.duty }

// Collectors returns the duty's metrics.
func (r *Replicator) Collectors() []prometheus.Collector {
	return []prometheus.Collector{r.handler.unreadable}
}

// Subscribe registers a ring that receives each new view. It must be called before
// the duty starts.
func (r *Replicator) Subscribe(ring *brring.Latest[*brfleet.View]) {
	r.handler.subscribers = append(r.handler.subscribers, ring)
}

// State returns the state that was published last.
func (r *Replicator) State() *State { return r.handler.state.Load() }

// Apply applies a batch of records that was up to date at the time asOf. The name
// of its source is logged with each change.
func (r *Replicator) Apply(batch brrecord.Batch, asOf time.Time, from string) {
	_ = r.duty.Queue().Send(message{batch: batch, asOf: asOf, from: from})
}

// RecordFailedRead records that this VM failed to read the servers from the store.
func (r *Replicator) RecordFailedRead(start, end time.Time) {
	_ = r.duty.Queue().Send(message{failedRead: timeSpan{start: start, end: end}})
}

// RecordPeer records that another VM answered this one.
func (r *Replicator) RecordPeer(at time.Time) {
	_ = r.duty.Queue().Send(message{peerAnswers: at})
}

// Await returns the changes after the revisions that another VM knows. If there are
// none, it waits for changes, at most for the given time.
func (r *Replicator) Await(ctx context.Context, known brrecord.Revisions, wait time.Duration) ([]brrecord.Batch, error) {
	until := r.clock.Now().Add(wait)
	return brring.Ask(ctx, r.duty.Queue(), r.replies, func(reply brring.Reply[[]brrecord.Batch]) message {
		return message{known: known, until: until, reply: reply}
	})
}
