package bradmission_test

import (
	"context"
	"encoding/hex"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/duty/bradmission"
	"bergamotroad.example/bergamotroad/internal/model/brallocation"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
	"bergamotroad.example/bergamotroad/internal/standin/brobserver"
)

// startAdmission returns a running Admission whose only organisation has a contract for
// rate requests per second, together with a request of that organisation.
func startAdmission(b testing.TB, rate int64) (*bradmission.Admission, brrequest.Request) {
	meta, hash := brconfig.NewMeta, brrequest.HashKey("key")
	amount := brunit.New(rate, 1)
	snapshot, err := brconfig.NewSnapshot().Apply(1, []brconfig.Change{
		brconfig.Put(brconfig.NewOrganisation(meta("taller")).WithMaxKeyAge(time.Hour)),
		brconfig.Put(brconfig.NewKey(meta("key"), "taller", hex.EncodeToString(hash[:]))),
		brconfig.Put(brconfig.NewUnit(meta("unit"), brunit.New(1, 1))),
		brconfig.Put(brconfig.NewContract(meta("contract"), "taller", "unit", amount, time.Second, amount)),
		brconfig.Put(brconfig.NewService(meta("service"))),
		brconfig.Put(brconfig.NewRoute(meta("route"), "service", "/")),
	})
	require.NoError(b, err)
	clock := brclock.NewSystem()
	admission := bradmission.New(clock)
	group := brduty.NewGroup(context.Background(), clock, brobserver.Nop{})
	group.Start(admission.Duty())
	b.Cleanup(group.Stop)
	require.NoError(b, admission.Snapshots().Send(snapshot))
	admission.Confirm(clock.Now())
	settings := brshare.NewLeaseSettings(time.Hour, time.Hour, 0)
	manager := brshare.NewSlotManager("1", "vm-1", settings)
	before := brallocation.Row{}
	row, _ := manager.NextRow(before, brshare.NewLayout(brallocation.NewAllocation(), "d", brshare.Whole, 1), true, clock.Now())
	require.NoError(b, admission.Grant(manager.RecordWrite(before, row, clock.Now())))
	request := brrequest.New("1", "GET", "/cylinders/7", netip.MustParseAddr("10.0.0.1")).WithKeyHash(hash)
	return admission, request
}

// BenchmarkAdmit measures the cost of one admission, including the ring buffers and
// two goroutine switches.
func BenchmarkAdmit(b *testing.B) {
	admission, request := startAdmission(b, 100_000_000)
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = admission.Admit(ctx, request)
	}
}

// BenchmarkAdmitParallel measures the throughput of admissions under concurrent callers.
func BenchmarkAdmitParallel(b *testing.B) {
	admission, request := startAdmission(b, 100_000_000)
	ctx := context.Background()
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			_, _ = admission.Admit(ctx, request)
		}
	})
}

func TestAdmissionRefusesBeyondTheContract(t *testing.T) {
	admission, request := startAdmission(t, 2)
	ctx := context.Background()
	decision, err := admission.Admit(ctx, request)
	require.NoError(t, err)
	require.Equal(t, brrequest.ReasonOverRate, decision.Reason(), "a new share starts without tokens")
	require.Equal(t, "taller", decision.Organisation())
	require.Positive(t, decision.RetryAfter())
	require.LessOrEqual(t, decision.RetryAfter(), time.Second)
}

// The search for loans of an organisation ends while the duty's ring is full. If the end
// were rejected, no further search would start for the organisation.
func TestEndOfLoanSearchIsAcceptedWhileRingIsFull(t *testing.T) {
	admission := bradmission.New(brclock.NewSystem())
	for err := error(nil); err == nil; {
		err = admission.Grant(nil)
	}
	require.NoError(t, admission.FinishSearch("taller"))
}

// Callers leave while the duty does not handle their requests. They must not be charged to
// the organisation's limit.
func TestRequestsOfCallersThatLeftAreNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission, request := startAdmission(t, 2)
		time.Sleep(2 * time.Second) // for the burst of 2 tokens
		until := make(chan struct{})
		require.NoError(t, admission.Stall(until))
		ctx, cancel := context.WithCancel(t.Context())
		for range 20 {
			go func() { _, _ = admission.Admit(ctx, request) }()
		}
		synctest.Wait()
		cancel()
		synctest.Wait()
		close(until)
		decision, err := admission.Admit(t.Context(), request)
		require.NoError(t, err)
		require.True(t, decision.Admitted())
	})
}
