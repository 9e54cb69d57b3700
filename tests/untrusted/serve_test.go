package untrusted

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

const (
	serveMemoryMB    = 96
	serveDescriptors = 1000
)

const serveSettings = `{
  "vm": "vm-1",
  "domain": "montevideo-a",
  "memoryMB": %[5]d,
  "callers": {"address": "127.0.0.1:%[1]d", "plain": true,
    "limits": {"connections": 400, "connectionsPerAddress": 200, "requests": 200, "bodyGrace": "3s"}},
  "drain": {"lookups": "0s"},
  "peers": {"address": "127.0.0.1:%[2]d", "plain": true},
  "operators": {"address": "127.0.0.1:%[3]d", "plain": true, "openAdministration": true},
  "platform": {"table": "%[4]s", "objects": "%[4]s/objects", "vms": "%[4]s/vms"}
}`

const serveResources = `[
  {"kind": "region", "name": "montevideo"},
  {"kind": "domain", "name": "montevideo-a", "spec": {"region": "montevideo"}},
  {"kind": "site", "name": "montevideo-a", "spec": {"domain": "montevideo-a"}},
  {"kind": "vm", "name": "vm-1", "spec": {"site": "montevideo-a", "callerAddress": "127.0.0.1:%[1]d", "peerAddress": "127.0.0.1:%[2]d"}},
  {"kind": "organisation", "name": "taller-norte"},
  {"kind": "key", "name": "taller-norte-1", "spec": {"organisation": "taller-norte", "hash": "c9eecf75560250e546f1b96bacae9730e2a42a4fa467df60162fcda8f75cccc9"}},
  {"kind": "service", "name": "lookup"},
  {"kind": "server", "name": "lookup-1", "spec": {"service": "lookup", "domain": "montevideo-a", "address": "%[3]s", "slots": %[4]d}},
  {"kind": "route", "name": "all", "spec": {"service": "lookup", "pathPrefix": "/"}},
  {"kind": "service", "name": "endless"},
  {"kind": "server", "name": "endless-1", "spec": {"service": "endless", "domain": "montevideo-a", "address": "%[5]s", "slots": %[4]d}},
  {"kind": "route", "name": "endless", "spec": {"service": "endless", "pathPrefix": "/endless"}}
]`

// startServe starts a VM of serve with a platform and a backend server.
func startServe(t *testing.T) system {
	t.Helper()
	faults := brplatform.NewFaults()
	mux := http.NewServeMux()
	mux.Handle("/v3/kv/", brplatform.NewTable(faults))
	mux.Handle("/objects/", http.StripPrefix("/objects", brplatform.NewObjectStore(faults)))
	mux.Handle("/vms", brplatform.NewVMList(faults))
	platform := httptest.NewServer(mux)
	t.Cleanup(func() {
		platform.CloseClientConnections()
		_ = platform.Config.Close()
	})
	server := newServer(t, "lookup-1")
	ports := freePorts(t, 3)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, serveSettings, ports[0], ports[1], ports[2], platform.URL, serveMemoryMB), 0o600))
	s := system{
		process: startProcess(t, nil, "serve", path),
		callers: fmt.Sprintf("127.0.0.1:%d", ports[0]), key: "Authorization: Bearer taller-norte-key",
		maxMemory: serveMemoryMB << 20, maxDescriptors: serveDescriptors,
	}
	resources := fmt.Sprintf(serveResources, ports[0], ports[1], server.Listener.Addr(), serverSlots, newEndlessServer(t))
	s.apply(t, fmt.Sprintf("http://127.0.0.1:%d/v1/apply", ports[2]), resources)
	return s
}

// apply applies resources once the process listens.
func (s system) apply(t *testing.T, url, resources string) {
	t.Helper()
	last := ""
	for end := time.Now().Add(answerLimit); time.Now().Before(end); {
		response, err := http.Post(url, "application/json", strings.NewReader(resources))
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
			last = response.Status + " " + string(body)
		}
		time.Sleep(attemptPause)
	}
	require.Fail(t, "the configuration is not applied", "%s; output: %s", last, s.process.lastOutput())
}
