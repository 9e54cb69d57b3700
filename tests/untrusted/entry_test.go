package untrusted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/platform/brstandin"
	"bergamotroad.example/bergamotroad/platform/brvmsettings"
)

const (
	entryMemoryMB    = 80
	entryDescriptors = 1000
	serverSlots      = 400
	// responseSize exceeds what the kernel buffers on a loopback connection.
	responseSize = 8 << 20
)

// newServer starts a backend server that discards bodies, and answers requests below /large/
// with a large response.
func newServer(t *testing.T, id string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", id)
		if strings.HasPrefix(r.URL.Path, "/large/") {
			_, _ = io.CopyN(w, zeros{}, responseSize)
			return
		}
		_, _ = io.WriteString(w, "ran")
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		_ = server.Config.Close()
	})
	return server
}

// startEntry starts an entry VM with a store and a backend server.
func startEntry(t *testing.T) system {
	t.Helper()
	store := brstandin.NewStore()
	storeServer := httptest.NewServer(store.Handler("vm-1"))
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		_ = storeServer.Config.Close()
	})
	for id, server := range map[string]struct {
		service string
		address net.Addr
	}{
		"i-1": {service: "lookup", address: newServer(t, "i-1").Listener.Addr()},
		"i-2": {service: "endless", address: newEndlessServer(t)},
	} {
		store.Put("servers", id, fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":%q,"version":"v1","zone":"n-a","max_concurrency":%d},"status":{"state":"ready","sequence":1,"cold_remaining_s":0}}`,
			server.address, server.service, serverSlots))
	}
	store.Put("op", "config", `{"version":"00000001","resources":[
	{"entry_kind":"routes","metadata":{"name":"r-1"},"spec":{"host":"depot.example","prefix":"/","type":"unsafe","timeout_s":60,"target_latency_s":20,"priority":1,"service":"lookup","max_attempts":2,"public":true,"session_affinity":false,"allowed_regions":[]}},
	{"entry_kind":"routes","metadata":{"name":"r-2"},"spec":{"host":"depot.example","prefix":"/endless/","type":"unsafe","timeout_s":60,"target_latency_s":20,"priority":1,"service":"endless","max_attempts":2,"public":true,"session_affinity":false,"allowed_regions":[]}},
	{"entry_kind":"services","metadata":{"name":"lookup"},"spec":{"health_check_path":"/health","cold_per_s":2.6}},
	{"entry_kind":"services","metadata":{"name":"endless"},"spec":{"health_check_path":"/health","cold_per_s":2.6}},
	{"entry_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}`)
	vm := brstandin.NewVM("vm-1", "127.0.0.1", "n-a", map[string]string{"n-a": "north"}, freePorts(t, 4)).
		WithStore(storeServer.Listener.Addr().String())
	settings := strings.Replace(vm.Settings(1), "memory_mb = 284", fmt.Sprintf("memory_mb = %d\nmax_open_files = %d", entryMemoryMB, entryDescriptors), 1)
	require.Contains(t, settings, "max_open_files")
	path := filepath.Join(t.TempDir(), "boot.toml")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	return system{
		process: startProcess(t, []string{brvmsettings.EnvironmentVariable + "=" + path}, "entry"),
		callers: vm.CallerAddress(), key: "X-Credential: none",
		maxMemory: entryMemoryMB << 20, maxDescriptors: entryDescriptors,
	}
}

// freePorts returns ports that are free at 127.0.0.1.
func freePorts(t *testing.T, count int) []int {
	t.Helper()
	ports := []int{}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports
}
