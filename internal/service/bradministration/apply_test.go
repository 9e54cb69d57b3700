package bradministration_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/service/bradministration"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
	_ "bergamotroad.example/bergamotroad/internal/standin/brseed"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// faultyTable is a table that injects faults: writes can fail, lose their responses or
// be applied late.
type faultyTable struct {
	brtable.Table
	beforeCommit  func() // runs before each commit, for example a concurrent change
	fault         func() string
	pending       []brtable.Transaction
	isUnavailable bool
}

func (f *faultyTable) Read(ctx context.Context, key string) (brtable.Row, error) {
	if f.isUnavailable {
		return brtable.Row{}, brtable.NewErrUnavailable(errors.New("unavailable"))
	}
	return f.Table.Read(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, transaction brtable.Transaction) error {
	if f.beforeCommit != nil {
		f.beforeCommit()
	}
	switch f.fault() {
	case "unavailable":
		return brtable.NewErrUnavailable(errors.New("unavailable"))
	case "response lost":
		_ = f.Table.Commit(ctx, transaction)
		return brtable.NewErrOutcomeUnknown(errors.New("response lost"))
	case "delayed":
		f.pending = append(f.pending, transaction)
		return brtable.NewErrOutcomeUnknown(errors.New("delayed"))
	case "apply delayed":
		f.applyPending(ctx)
	case "delay and disconnect":
		f.pending = append(f.pending, transaction)
		f.isUnavailable = true
		return brtable.NewErrOutcomeUnknown(errors.New("disconnected"))
	}
	if f.isUnavailable {
		return brtable.NewErrUnavailable(errors.New("unavailable"))
	}
	return f.Table.Commit(ctx, transaction)
}

func (f *faultyTable) applyPending(ctx context.Context) {
	for _, t := range f.pending {
		_ = f.Table.Commit(ctx, t)
	}
	f.pending = nil
}

type noopObserver struct{}

func (noopObserver) DutyStalled(string, int)          {}
func (noopObserver) DutyPanicked(string, any, []byte) {}
func (noopObserver) Record(brevent.Event)             {}

type unlimitedRate struct{}

func (unlimitedRate) Take(context.Context, string) (time.Duration, error) { return 0, nil }

// fleet is a group of VMs on one platform.
type fleet struct {
	table *faultyTable
	vms   []*bradministration.Administration
	stop  func()
}

func newFleet(ctx context.Context, size int) *fleet {
	faults := brplatform.NewFaults()
	objects := brplatform.NewObjectStore(faults)
	f := &fleet{table: &faultyTable{Table: brplatform.NewTable(faults), fault: func() string { return "" }}}
	clock := brclock.NewFake(start)
	group := brduty.NewGroup(ctx, clock, noopObserver{})
	for range size {
		distributor := brdistributor.New(clock, noopObserver{})
		group.Start(distributor.Duty())
		f.vms = append(f.vms, bradministration.New(clock, braccess.NewPolicy().WithAnonymousAccess(true), unlimitedRate{}, distributor, f.table, objects, nil, noopObserver{}))
	}
	f.stop = group.Stop
	return f
}

var administrator = brprincipal.New("operator", "", brconfig.RoleAdministrator)

func organisation(name string) []brconfig.Change {
	return []brconfig.Change{brconfig.Put(brconfig.NewOrganisation(brconfig.NewMeta(name)))}
}

// With lost responses, delayed writes, outages and concurrent changes, an accepted
// change takes effect once, a refused one never does, generations have no gap, and an
// unknown outcome can be looked up afterwards.
func TestChangesTakeEffectOnceOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := t.Context()
		f := newFleet(ctx, 2)
		defer f.stop()
		accepted := map[string]uint64{}
		refused := map[string]bool{}
		unknown := map[string]bradministration.ErrOutcomeUnknown{}
		count, depth := 0, 0
		apply := func(id string) {
			vm := f.vms[rapid.IntRange(0, 1).Draw(t, "vm")]
			outcome, err := vm.Apply(ctx, bradministration.NewOperation(administrator, bradministration.FixedEdit(organisation(id))).WithID(id, "same"))
			unknownErr, isUnknown := errors.Into[bradministration.ErrOutcomeUnknown](err)
			switch {
			case err == nil:
				generation, wasAccepted := accepted[id]
				require.True(t, !wasAccepted || generation == outcome.Generation(), "%s was accepted twice", id)
				require.False(t, refused[id])
				accepted[id] = outcome.Generation()
			case isUnknown:
				unknown[id] = unknownErr
			default:
				require.True(t, bradministration.IsErrConflict(err) || bradministration.IsErrUnavailable(err), "%v", err)
				_, wasAccepted := accepted[id]
				_, isUnresolved := unknown[id]
				refused[id] = !wasAccepted && !isUnresolved
			}
		}
		applyNew := func() {
			count++
			apply(fmt.Sprint("o", count))
		}
		f.table.fault = func() string {
			return rapid.SampledFrom([]string{"", "", "unavailable", "response lost", "delayed", "apply delayed", "delay and disconnect"}).Draw(t, "fault")
		}
		f.table.beforeCommit = func() {
			if depth < 2 && rapid.IntRange(0, 3).Draw(t, "concurrent change") == 0 {
				depth++
				applyNew()
				depth--
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"apply", "apply", "repeat", "apply delayed", "reconnect"}).Draw(t, "step") {
			case "apply":
				applyNew()
			case "repeat":
				for id := range unknown {
					// With more than one entry, the random order of the map would make
					// the history not reproducible.
					if len(unknown) == 1 {
						apply(id)
					}
				}
			case "apply delayed":
				f.table.applyPending(ctx)
			case "reconnect":
				f.table.isUnavailable = false
			}
		}
		f.table.isUnavailable = false
		f.table.applyPending(ctx)
		f.table.beforeCommit = nil
		f.table.fault = func() string { return "" }
		apply("last")
		checkHistory(ctx, t, f, accepted, refused, unknown)
	})
}

func checkHistory(ctx context.Context, t *rapid.T, f *fleet, accepted map[string]uint64, refused map[string]bool, unknown map[string]bradministration.ErrOutcomeUnknown) {
	entries, err := f.vms[0].History(ctx, 0, 1000)
	require.NoError(t, err)
	generations := map[string]uint64{}
	for i, e := range entries {
		require.Equal(t, uint64(len(entries)-i), e.Generation())
		require.NotContains(t, generations, e.Operation(), "applied twice")
		generations[e.Operation()] = e.Generation()
	}
	for id, generation := range accepted {
		require.Equal(t, generation, generations[id], id)
	}
	for id, wasRefused := range refused {
		require.False(t, wasRefused && generations[id] != 0, "%s was refused but took effect", id)
	}
	for id, unknownErr := range unknown {
		entry, err := f.vms[0].Operation(ctx, id)
		missing, isMissing := errors.Into[bradministration.ErrOperationNotExist](err)
		if isMissing {
			require.GreaterOrEqual(t, missing.Generation(), unknownErr.Generation(), "result is not final")
			require.NotContains(t, generations, id)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, generations[id], entry.Generation())
	}
	for _, vm := range f.vms {
		_, err := vm.Apply(ctx, bradministration.NewOperation(administrator, bradministration.FixedEdit(organisation("last"))))
		require.NoError(t, err)
		snapshot, err := vm.Snapshot(ctx)
		require.NoError(t, err)
		require.Equal(t, len(generations), snapshot.Organisations().Len())
	}
}

// A write succeeds although its response was lost and a change of another operator
// is accepted before the retry: the precondition of the retry fails, and the row of
// the operation shows that it was accepted.
func TestLostResponseIsResolvedAfterALaterChange(t *testing.T) {
	f := newFleet(t.Context(), 2)
	defer f.stop()
	loseResponse := true
	f.table.fault = func() string {
		if !loseResponse {
			return ""
		}
		loseResponse = false
		return "response lost"
	}
	calls := 0
	f.table.beforeCommit = func() {
		// The second attempt runs after a change of another operator.
		calls++
		if calls == 2 {
			_, err := f.vms[1].Apply(t.Context(), bradministration.NewOperation(administrator, bradministration.FixedEdit(organisation("other"))))
			require.NoError(t, err)
		}
	}
	outcome, err := f.vms[0].Apply(t.Context(), bradministration.NewOperation(administrator, bradministration.FixedEdit(organisation("own"))))
	require.NoError(t, err)
	require.Equal(t, uint64(1), outcome.Generation())
}

func TestExpectedGenerationConflictsOnlyWhereAResourceChanged(t *testing.T) {
	f := newFleet(t.Context(), 1)
	defer f.stop()
	vm := f.vms[0]
	apply := func(name string) bradministration.Operation {
		return bradministration.NewOperation(administrator, bradministration.FixedEdit(organisation(name)))
	}
	for _, name := range []string{"a", "b"} {
		_, err := vm.Apply(t.Context(), apply(name))
		require.NoError(t, err)
	}
	_, err := vm.Apply(t.Context(), apply("a").WithExpectedGeneration(1))
	require.NoError(t, err)
	_, err = vm.Apply(t.Context(), apply("a").WithExpectedGeneration(2))
	conflict, ok := errors.Into[bradministration.ErrConflict](err)
	require.True(t, ok, "%v", err)
	require.Equal(t, uint64(3), conflict.First().Generation())
	require.Equal(t, "operator", conflict.First().Author())
}

func TestOperationIDIsBoundToOneRequest(t *testing.T) {
	f := newFleet(t.Context(), 1)
	defer f.stop()
	operation := bradministration.NewOperation(administrator, bradministration.FixedEdit(organisation("a"))).WithID("k", "one")
	first, err := f.vms[0].Apply(t.Context(), operation)
	require.NoError(t, err)
	again, err := f.vms[0].Apply(t.Context(), operation)
	require.NoError(t, err)
	require.True(t, again.Repeated())
	require.Equal(t, first.Generation(), again.Generation())
	_, err = f.vms[0].Apply(t.Context(), operation.WithID("k", "another"))
	require.True(t, bradministration.IsErrOperationReused(err))
}
