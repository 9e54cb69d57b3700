package brreplica_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/decide/brreplica"
	"bergamotroad.example/bergamotroad/internal/model/brfleet"
	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Unix(1000, 0)

// textDecoder decodes payloads of plain text.
type textDecoder struct{}

func (textDecoder) Order(record brrecord.Record) (brfleet.Order, error) {
	text := string(record.Payload())
	if version, ok := strings.CutPrefix(text, "policy "); ok {
		number, err := strconv.ParseUint(version, 10, 64)
		return brfleet.NewPolicyOrder(brfleet.NewPolicy(number, brfleet.Limits{}, nil, nil, nil)), err
	}
	if domain, ok := strings.CutPrefix(text, "evacuate "); ok {
		return brfleet.NewEvacuationOrder(domain), nil
	}
	return brfleet.NewRolloutOrder(brfleet.NewRollout("lookup", text, time.Minute, record.Revision())), nil
}

func (textDecoder) Server(record brrecord.Record) (brfleet.Server, error) {
	text := string(record.Payload())
	if text == "garbage" {
		return brfleet.Server{}, errors.New("garbage")
	}
	return brfleet.NewServer(record.Key(), "lookup", "h:1").WithDraining(text == "draining"), nil
}

func (textDecoder) Result(record brrecord.Record) (brfleet.Rollout, error) {
	return brfleet.NewRollout("lookup", "v2", 0, record.Revision()).WithState(brfleet.RolloutState(record.Payload())), nil
}

func (textDecoder) VM(record brrecord.Record) (brfleet.VM, error) {
	return brfleet.NewVM(record.Key(), "", ""), nil
}

// serverBatch returns a batch with a record for each text by key; an empty text makes a
// deleted record.
func serverBatch(revision brrecord.Revision, full bool, texts map[string]string) brrecord.Batch {
	records := []brrecord.Record{}
	for key, text := range texts {
		record := brrecord.New(brrecord.AreaServers, key, revision, []byte(text))
		if text == "" {
			record = record.WithDeleted(revision)
		}
		records = append(records, record)
	}
	return brrecord.NewBatch(brrecord.AreaServers, records, revision, full)
}

func policyBatch(revision brrecord.Revision, version uint64) brrecord.Batch {
	record := brrecord.New(brrecord.AreaOrders, "config", revision, fmt.Appendf(nil, "policy %d", version))
	return brrecord.NewBatch(brrecord.AreaOrders, []brrecord.Record{record}, revision, false)
}

func serverIDs(view *brfleet.View) []string {
	ids := []string{}
	for _, s := range view.ServersOf("lookup") {
		ids = append(ids, s.ID())
	}
	return ids
}

// Batches that arrive late, twice or out of order never revert a replica to an
// older state.
func TestReplicaIgnoresOlderBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := brreplica.New(textDecoder{})
		newest := uint64(0)
		for range 30 {
			number := rapid.Uint64Range(1, 20).Draw(t, "revision")
			r.Apply(start, policyBatch(brrecord.Revision(number), number), start)
			newest = max(newest, number)
			require.Equal(t, newest, r.View(start).Policy().Version())
			require.EqualValues(t, newest, r.Revisions()[brrecord.AreaOrders])
		}
	})
}

// A replica that follows another one, incrementally or from an empty state, has
// the same view as that one.
func TestFollowerHasTheSameView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := brreplica.New(textDecoder{}), brreplica.New(textDecoder{})
		for revision := brrecord.Revision(1); revision < 40; revision++ {
			key := rapid.SampledFrom([]string{"i-1", "i-2", "i-3", "i-4"}).Draw(t, "key")
			text := rapid.SampledFrom([]string{"ready", "draining", "", "garbage"}).Draw(t, "text")
			source.Apply(start, serverBatch(revision, revision == 1, map[string]string{key: text}), start)
			if rapid.Bool().Draw(t, "follows") {
				for _, b := range source.Since(follower.Revisions()) {
					follower.Apply(start, b, start)
				}
				require.Equal(t, source.View(start).ServersOf("lookup"), follower.View(start).ServersOf("lookup"))
			}
		}
	})
}

// A registration without new content is not sent to followers; only the area's new
// revision is.
func TestUnchangedRegistrationIsNotReplicated(t *testing.T) {
	r := brreplica.New(textDecoder{})
	require.Len(t, r.Apply(start, serverBatch(1, true, map[string]string{"i-1": "ready"}), start).Records(), 1)
	known := r.Revisions()
	require.Empty(t, r.Apply(start, serverBatch(2, false, map[string]string{"i-1": "ready"}), start).Records())
	for _, b := range r.Since(known) {
		require.Empty(t, b.Records())
		require.EqualValues(t, 2, b.Revision())
	}
}

// An entry that can't be decoded yields no server and doesn't affect the others.
func TestUndecodableEntryYieldsNoServer(t *testing.T) {
	r := brreplica.New(textDecoder{})
	change := r.Apply(start, serverBatch(1, true, map[string]string{"i-1": "ready", "i-2": "garbage"}), start)
	require.Len(t, change.Failures(), 1)
	require.Equal(t, []string{"i-1"}, serverIDs(r.View(start)))
	r.Apply(start, serverBatch(2, false, map[string]string{"i-1": "garbage"}), start)
	require.Empty(t, serverIDs(r.View(start)))
}

// Servers whose entries expired while the store was unavailable are kept for a
// grace period in which they can register again; draining servers are not kept.
func TestStoreOutageKeepsServers(t *testing.T) {
	r := brreplica.New(textDecoder{})
	r.Apply(start, serverBatch(1, true, map[string]string{"i-1": "ready", "i-2": "draining", "i-3": "ready"}), start)
	back := failReads(r, start.Add(600*time.Millisecond), start.Add(5*time.Second), 0)
	r.Apply(back, serverBatch(9, true, map[string]string{}), back)
	require.Equal(t, []string{"i-1", "i-3"}, serverIDs(r.View(back)))
	r.Apply(back.Add(time.Second), serverBatch(10, false, map[string]string{"i-3": "ready"}), back.Add(time.Second))
	expiry, retained := r.NextExpiry()
	require.True(t, retained)
	require.Equal(t, []string{"i-3"}, serverIDs(r.View(expiry)))
}

// Without an outage, a deleted entry removes its server at once.
func TestDeletedEntryRemovesServer(t *testing.T) {
	r := brreplica.New(textDecoder{})
	r.Apply(start, serverBatch(1, true, map[string]string{"i-1": "ready", "i-2": "ready"}), start)
	soon := start.Add(600 * time.Millisecond)
	r.Apply(soon, serverBatch(2, false, map[string]string{"i-2": ""}), soon)
	require.Equal(t, []string{"i-1"}, serverIDs(r.View(soon)))
}

// A result applies to the order before it. A new order resets the rollout's state.
func TestResultAppliesToItsOrder(t *testing.T) {
	r := brreplica.New(textDecoder{})
	order := func(revision brrecord.Revision) brrecord.Batch {
		record := brrecord.New(brrecord.AreaOrders, "rollout/lookup", revision, []byte("v2"))
		return brrecord.NewBatch(brrecord.AreaOrders, []brrecord.Record{record}, revision, false)
	}
	state := func() brfleet.RolloutState {
		rollout, ok := r.View(start).Rollout("lookup")
		require.True(t, ok)
		return rollout.State()
	}
	r.Apply(start, order(3), start)
	require.Equal(t, brfleet.RolloutOrdered, state())
	result := brrecord.New(brrecord.AreaResults, "rollout/lookup", 5, []byte(brfleet.RolloutRolledBack))
	r.Apply(start, brrecord.NewBatch(brrecord.AreaResults, []brrecord.Record{result}, 5, false), start)
	require.Equal(t, brfleet.RolloutRolledBack, state())
	require.EqualValues(t, 5, r.StoredResult("lookup").Revision())
	r.Apply(start, order(8), start)
	require.Equal(t, brfleet.RolloutOrdered, state())
}

// Guards against a VM that keeps a server which has left: it read the server's entry itself, and
// then follows a VM that read the store only before the server came and after it left (DRAIN).
func TestFollowerLearnsOfServersThatItsSourceNeverKnew(t *testing.T) {
	for name, last := range map[string]brrecord.Batch{
		"changes": serverBatch(3, false, map[string]string{"i-1": ""}),
		"list":    serverBatch(3, true, nil),
	} {
		t.Run(name, func(t *testing.T) {
			source, follower := brreplica.New(textDecoder{}), brreplica.New(textDecoder{})
			source.Apply(start, serverBatch(1, true, nil), start)
			follower.Apply(start, serverBatch(2, true, map[string]string{"i-1": "ready"}), start)
			source.Apply(start, last, start)
			for _, b := range source.Since(follower.Revisions()) {
				follower.Apply(start, b, start)
			}
			require.Empty(t, serverIDs(follower.View(start)))
		})
	}
}
