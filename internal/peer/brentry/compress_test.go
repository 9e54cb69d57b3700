package brentry_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/model/brrecord"
	"bergamotroad.example/bergamotroad/internal/model/brstatus"
	"bergamotroad.example/bergamotroad/internal/model/brsync"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
)

// fakeSyncer is a Syncer with a fixed update. It records what is reported to it.
type fakeSyncer struct {
	update   brsync.Update
	reported brstatus.Status
}

func (s *fakeSyncer) Sync(_ context.Context, _, _ string, _ brrecord.Revisions, _ time.Duration, report brstatus.Status) (brsync.Update, error) {
	s.reported = report
	return s.update, nil
}

func (s *fakeSyncer) Exchange(_ context.Context, _ string, status brstatus.Status) (string, brstatus.Status, error) {
	s.reported = status
	return "north", status, nil
}

func (s *fakeSyncer) Borrow(_ context.Context, organisation string) (brsync.Grant, error) {
	return brsync.NewGrant(organisation == "known", 300*time.Millisecond), nil
}

// countingListener is a listener that counts the bytes that are written to its connections.
type countingListener struct {
	net.Listener
	written atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &countingConn{Conn: conn, written: &c.written}, err
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c *countingConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	return c.Conn.Write(data)
}

func startSyncer(t testing.TB, syncer *fakeSyncer) (*brentry.SyncClient, string, *countingListener) {
	t.Helper()
	server := httptest.NewUnstartedServer(brentry.NewSyncHandler(syncer))
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return brentry.NewSyncClient(brentry.NewPlainConnector()), strings.TrimPrefix(server.URL, "http://"), listener
}

// largeStatus returns a status with the given number of VMs and of demands.
func largeStatus(vms, organisations int) brstatus.Status {
	random := rand.New(rand.NewPCG(1, 2))
	members, demands := []string{}, map[string]float64{}
	for i := range vms {
		members = append(members, fmt.Sprintf("entry-%d-of-domain-%d", i, i%9))
	}
	for range organisations {
		demands[fmt.Sprintf("%08x", random.Uint32())] = 40 * random.Float64()
	}
	return brstatus.New(members, demands, nil)
}

func requireEqualStatus(t *testing.T, expected, actual brstatus.Status) {
	t.Helper()
	require.Equal(t, expected.Members(), actual.Members())
	require.Len(t, actual.Demands(), len(expected.Demands()))
	for organisation, demand := range expected.Demands() {
		require.InDelta(t, demand, actual.Demand(organisation), 1e-9)
	}
}

// configuration returns a JSON fragment of at least the given size that compresses
// as a real configuration does.
func configuration(minBytes int) []byte {
	random := rand.New(rand.NewPCG(3, 4))
	text := bytes.Buffer{}
	for text.Len() < minBytes {
		fmt.Fprintf(&text, `{"entry_kind":"routes","metadata":{"name":"r-%08x"},"spec":{"host":"%08x.example","prefix":"/%08x/","service":"%08x","timeout":3,"attempts":2}},`,
			random.Uint32(), random.Uint32(), random.Uint32(), random.Uint32())
	}
	return text.Bytes()
}

// Guards against responses too large for the link of a small VM: when a large
// configuration changes, the VM that reads it sends it to all its followers at
// once, and they time out if it does not arrive soon enough.
func TestLargeConfigurationFitsLinkOfSmallVM(t *testing.T) {
	const (
		documentBytes      = 64 << 10   // the platform's largest record
		linkBytesPerSecond = 10e6 / 8.0 // of the smallest VM
		timeoutSeconds     = 0.3        // of a follower that waits for the response
		followers          = 20
	)
	record := brrecord.New(brrecord.AreaOrders, "config", 7, configuration(documentBytes))
	batch := brrecord.NewBatch(brrecord.AreaOrders, []brrecord.Record{record}, 9, false).WithAge(time.Second)
	syncer := &fakeSyncer{update: brsync.NewUpdate([]brrecord.Batch{batch}, largeStatus(60, 72), time.Second).WithReadsStore(true)}
	client, address, listener := startSyncer(t, syncer)
	update, err := client.Sync(t.Context(), address, "vm-1", "north", brrecord.Revisions{1, 2, 3, 4}, 0, largeStatus(1, 72))
	require.NoError(t, err)
	require.Equal(t, syncer.update.Batches(), update.Batches())
	requireEqualStatus(t, largeStatus(60, 72), update.Fleet())
	requireEqualStatus(t, largeStatus(1, 72), syncer.reported)
	require.Less(t, float64(listener.written.Load()), linkBytesPerSecond*timeoutSeconds/followers)
}

// Guards against responses that use up the bandwidth for control traffic:
// followers poll two and a half times a second also while nothing changes.
func TestSyncStaysWithinControlBandwidth(t *testing.T) {
	const (
		pollsPerSecond = 2.5
		budgetBytes    = 12 << 10 // per second, for control traffic
	)
	syncer := &fakeSyncer{update: brsync.NewUpdate(nil, largeStatus(87, 86), time.Second).WithReadsStore(true)}
	client, address, listener := startSyncer(t, syncer)
	_, err := client.Sync(t.Context(), address, "vm-1", "north", brrecord.Revisions{}, 0, largeStatus(1, 86))
	require.NoError(t, err)
	require.Less(t, pollsPerSecond*float64(listener.written.Load()), float64(budgetBytes)/2, "responses may use half the budget, requests use the rest")
}

func TestExchangeIsUnchangedByCompression(t *testing.T) {
	syncer := &fakeSyncer{}
	client, address, _ := startSyncer(t, syncer)
	for _, vms := range []int{0, 1, 400} {
		region, status, err := client.Exchange(t.Context(), address, "south", largeStatus(vms, vms))
		require.NoError(t, err)
		require.Equal(t, "north", region)
		requireEqualStatus(t, largeStatus(vms, vms), status)
	}
}

func TestLenderDecidesOnBorrowedRequest(t *testing.T) {
	client, address, _ := startSyncer(t, &fakeSyncer{})
	grant, err := client.Borrow(t.Context(), address, "known")
	require.NoError(t, err)
	require.True(t, grant.Granted())
	grant, err = client.Borrow(t.Context(), address, "unknown")
	require.NoError(t, err)
	require.False(t, grant.Granted())
	require.Equal(t, 300*time.Millisecond, grant.RetryAfter())
}

// A body that is not valid gzip or is truncated is refused.
func TestDamagedBodiesAreRefused(t *testing.T) {
	_, address, _ := startSyncer(t, &fakeSyncer{})
	for _, body := range []string{"no gzip", "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff\x01"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/twirp/bergamotroad.Syncing/Sync", strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Content-Type", "application/protobuf")
		request.Header.Set("Content-Encoding", "gzip")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.GreaterOrEqual(t, response.StatusCode, http.StatusBadRequest)
	}
}

// Guards against a time-out on a response that has begun: a VM that was cut off
// for long catches up over a busy link, the response arrives slowly, and a time-out
// would make the VM request all of it again from another one. A VM that does not
// begin its response still causes an error.
func TestSlowResponseIsReadAndMissingResponseTimesOut(t *testing.T) {
	syncer := &fakeSyncer{update: brsync.NewUpdate(nil, largeStatus(300, 300), time.Second).WithReadsStore(true)}
	handler := brentry.NewSyncHandler(syncer)
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("silent") {
			<-silent
			return
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		body := recorder.Body.Bytes()
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(600 * time.Millisecond)
		_, _ = w.Write(body[len(body)/2:])
	}))
	defer server.Close()
	defer close(silent)
	client := brentry.NewSyncClient(brentry.NewPlainConnector())
	address := strings.TrimPrefix(server.URL, "http://")
	update, err := client.Sync(t.Context(), address, "vm-1", "north", brrecord.Revisions{}, 0, largeStatus(1, 1))
	require.NoError(t, err)
	require.Len(t, update.Fleet().Members(), 300)
	_, err = client.Sync(t.Context(), address+"?silent=", "vm-1", "north", brrecord.Revisions{}, 0, largeStatus(1, 1))
	require.Error(t, err)
}

// BenchmarkSync measures the bytes of a response while nothing changes.
func BenchmarkSync(b *testing.B) {
	for _, size := range []struct{ vms, organisations int }{{60, 72}, {87, 86}, {600, 86}, {6400, 86}, {87, 860}, {87, 8600}} {
		b.Run(fmt.Sprintf("VMs=%d/organisations=%d", size.vms, size.organisations), func(b *testing.B) {
			syncer := &fakeSyncer{update: brsync.NewUpdate(nil, largeStatus(size.vms, size.organisations), time.Second).WithReadsStore(true)}
			client, address, listener := startSyncer(b, syncer)
			for b.Loop() {
				_, err := client.Sync(b.Context(), address, "vm-1", "north", brrecord.Revisions{}, 0, largeStatus(1, 20))
				require.NoError(b, err)
			}
			b.ReportMetric(float64(listener.written.Load())/float64(b.N), "B/answer")
		})
	}
}
