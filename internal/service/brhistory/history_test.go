package brhistory

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
)

var start = time.Unix(1000, 0)

// fakeTimeline is the timeline of a VM in memory.
type fakeTimeline struct {
	vm       string
	events   []brevent.Event
	observed brclock.Timestamp
	err      error
}

func (f *fakeTimeline) add(kind brevent.Kind, organisation string, second int) {
	timestamp := brclock.NewTimestamp(start.Add(time.Duration(second)*time.Second), 0)
	f.events = append(f.events, brevent.New(kind).WithOrganisation(organisation).WithOrigin(timestamp, f.vm, "a"))
}

func (f *fakeTimeline) Read(_ context.Context, after uint64, limit int) (brtimeline.Page, error) {
	if f.err != nil {
		return brtimeline.Page{}, f.err
	}
	from := min(after, uint64(len(f.events)))
	to := min(from+uint64(limit), uint64(len(f.events)))
	return brtimeline.NewPage(f.events[from:to], to), nil
}

func (f *fakeTimeline) ReadEvents(ctx context.Context, after uint64, limit int) (brtimeline.Page, error) {
	return f.Read(ctx, after, limit)
}

func (f *fakeTimeline) Observe(timestamp brclock.Timestamp) { f.observed = timestamp }

type fixedConfiguration struct{ snapshot *brconfig.Snapshot }

func (f fixedConfiguration) Snapshot(context.Context) (*brconfig.Snapshot, error) {
	return f.snapshot, nil
}

// newHistory returns the history as read by "vm-0", whose timeline is own. The other
// timelines are those of vm-1, vm-2 and so on.
func newHistory(t *testing.T, own *fakeTimeline, others ...*fakeTimeline) *History {
	t.Helper()
	puts := []brconfig.Change{
		brconfig.Put(brconfig.NewRegion(brconfig.NewMeta("r"))),
		brconfig.Put(brconfig.NewDomain(brconfig.NewMeta("a"), "r")),
		brconfig.Put(brconfig.NewSite(brconfig.NewMeta("a"), "a")),
	}
	peers := map[string]Peer{}
	for i, timeline := range append([]*fakeTimeline{own}, others...) {
		timeline.vm = fmt.Sprintf("vm-%d", i)
		puts = append(puts, brconfig.Put(brconfig.NewVM(brconfig.NewMeta(timeline.vm), "a", "", timeline.vm)))
		peers[timeline.vm] = timeline
	}
	snapshot, err := brconfig.NewSnapshot().Apply(1, puts)
	require.NoError(t, err)
	return New("vm-0", own, fixedConfiguration{snapshot}, func(address string) Peer { return peers[address] })
}

func organisations(page Page) []string {
	found := []string{}
	for _, e := range page.Events() {
		found = append(found, e.Organisation())
	}
	return found
}

func TestEventsOfAllVMsAreOrderedByTimestamp(t *testing.T) {
	own, other, third := &fakeTimeline{}, &fakeTimeline{}, &fakeTimeline{}
	h := newHistory(t, own, other, third)
	own.add(brevent.KindLookup, "a", 1)
	other.add(brevent.KindLookup, "b", 2)
	own.add(brevent.KindLookup, "c", 3)
	third.add(brevent.KindVMStarted, "d", 4)
	query := NewQuery(brevent.Filter{}, 10)
	page, err := h.Read(t.Context(), query.OfAllVMs())
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b", "c", "d"}, organisations(page))
	require.Empty(t, page.Missing())
	require.Equal(t, third.events[0].Timestamp(), own.observed)
	page, err = h.Read(t.Context(), query)
	require.NoError(t, err)
	require.Equal(t, []string{"a", "c"}, organisations(page))
	page, err = h.Read(t.Context(), NewQuery(brevent.Filter{}.WithKind(brevent.KindVMStarted).WithVM("vm-2"), 10).OfAllVMs())
	require.NoError(t, err)
	require.Equal(t, []string{"d"}, organisations(page))
}

func TestUnavailableVMsAreListedAndReadLater(t *testing.T) {
	own, other := &fakeTimeline{}, &fakeTimeline{}
	h := newHistory(t, own, other)
	own.add(brevent.KindLookup, "a", 1)
	other.add(brevent.KindLookup, "b", 2)
	other.err = errors.New("no response")
	page, err := h.Read(t.Context(), NewQuery(brevent.Filter{}, 10).OfAllVMs())
	require.NoError(t, err)
	require.Equal(t, []string{"vm-1"}, page.Missing())
	other.err = nil
	page, err = h.Read(t.Context(), NewQuery(brevent.Filter{}, 10).OfAllVMs().After(page.Cursor()))
	require.NoError(t, err)
	require.Equal(t, []string{"b"}, organisations(page))
}

func TestPagingReturnsEachEventOnce(t *testing.T) {
	own, other := &fakeTimeline{}, &fakeTimeline{}
	h := newHistory(t, own, other)
	const events = 2500
	for i := range events {
		own.add(brevent.KindLookup, "own", i)
		other.add(brevent.KindLookup, "other", i)
	}
	seen, cursor := 0, Cursor{}
	for range events {
		page, err := h.Read(t.Context(), NewQuery(brevent.Filter{}, 700).OfAllVMs().After(cursor))
		require.NoError(t, err)
		if len(page.Events()) == 0 {
			break
		}
		require.LessOrEqual(t, len(page.Events()), 2*700)
		seen += len(page.Events())
		cursor, err = ParseCursor(page.Cursor().String())
		require.NoError(t, err)
	}
	require.Equal(t, 2*events, seen)
	page, err := h.Read(t.Context(), NewQuery(brevent.Filter{}, 5).OfAllVMs())
	require.NoError(t, err)
	require.Len(t, page.Events(), 5)
	require.Equal(t, other.events[events-1].Timestamp(), page.Events()[4].Timestamp(), "without a cursor, the newest events are kept")
}

func TestInvalidCursorsAreRejected(t *testing.T) {
	for _, text := range []string{"", "vm-1", "vm-1:x", ":3", "vm-1:-1"} {
		_, err := ParseCursor(text)
		require.Error(t, err, text)
	}
}
