//go:build fleet

package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/peer/brvmlist"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

const (
	fleetDomains     = 4
	fleetSettleTime  = 10 * time.Second
	fleetMeasureTime = 5 * time.Second
	changePeriod     = 250 * time.Millisecond
	readyAttempts    = 200                   // 100 ms apart
	clockTick        = 10 * time.Millisecond // unit of the times in /proc/<pid>/stat
)

// BenchmarkFleet measures VMs that run as processes of ../bergamotroad, first idle
// and then under configuration changes. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, vms := range []int{10, 30, 60} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			for range b.N {
				measureFleet(b, vms)
			}
		})
	}
}

func measureFleet(b *testing.B, vms int) {
	f := startFleet(b, vms)
	defer f.stop()
	time.Sleep(fleetSettleTime)
	timeBefore, bytesBefore := f.processorTime(b), f.platformBytes.Load()
	time.Sleep(fleetMeasureTime)
	perSecond := 1 / fleetMeasureTime.Seconds() / float64(vms)
	b.ReportMetric((f.processorTime(b)-timeBefore)*perSecond, "idle-ms/s/VM")
	b.ReportMetric(float64(f.platformBytes.Load()-bytesBefore)*perSecond, "idle-platform-B/s/VM")
	timeBefore, bytesBefore = f.processorTime(b), f.platformBytes.Load()
	changes := 0
	for until := time.Now().Add(fleetMeasureTime); time.Now().Before(until); time.Sleep(changePeriod) {
		changes++
		f.apply(b, f.resources[:1], changes)
	}
	b.ReportMetric(float64(changes)/fleetMeasureTime.Seconds(), "changes/s")
	b.ReportMetric((f.processorTime(b)-timeBefore)*perSecond, "changing-ms/s/VM")
	b.ReportMetric(float64(f.platformBytes.Load()-bytesBefore)*perSecond, "changing-platform-B/s/VM")
	b.ReportMetric(f.resident(b)/float64(vms), "resident-MB/VM")
}

// fleet is a number of VM processes with a stand-in for the platform.
type fleet struct {
	platform      *httptest.Server
	platformBytes atomic.Int64 // size of all request and response bodies of the platform
	commands      []*exec.Cmd
	operatorURL   string
	resources     []map[string]any
}

func startFleet(b *testing.B, vms int) *fleet {
	f := &fleet{}
	faults := brplatform.NewFaults()
	vmList := brplatform.NewVMList(faults)
	platform := http.NewServeMux()
	platform.Handle("/v3/kv/", brplatform.NewTable(faults))
	platform.Handle("/objects/", http.StripPrefix("/objects", brplatform.NewObjectStore(faults)))
	platform.Handle("/vms", vmList)
	f.platform = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.platformBytes.Add(max(r.ContentLength, 0))
		platform.ServeHTTP(countingWriter{ResponseWriter: w, bytes: &f.platformBytes}, r)
	}))
	f.resources = []map[string]any{resource("region", "r0", nil)}
	for i := range fleetDomains {
		domain := fmt.Sprintf("d%d", i)
		f.resources = append(
			f.resources,
			resource("domain", domain, map[string]any{"region": "r0"}),
			resource("site", domain, map[string]any{"domain": domain}),
		)
	}
	ports := freePorts(b, 3*vms)
	entries := []brvmlist.Entry{}
	for i := range vms {
		entries = append(entries, brvmlist.NewEntry(fmt.Sprintf("vm-%d", i), fmt.Sprintf("127.0.0.1:%d", ports[3*i+1]), false))
	}
	vmList.Set(entries)
	for i := range vms {
		f.start(b, i, ports[3*i:3*i+3])
	}
	f.operatorURL = fmt.Sprintf("http://127.0.0.1:%d", ports[2])
	f.awaitOK(b, f.operatorURL+"/healthz")
	f.apply(b, f.resources, 0)
	for i := range vms {
		f.awaitOK(b, fmt.Sprintf("http://127.0.0.1:%d/readyz", ports[3*i+2]))
	}
	return f
}

// resource returns a resource in the form of the administration API.
func resource(kind, name string, spec map[string]any) map[string]any {
	r := map[string]any{"kind": kind, "name": name}
	if spec != nil {
		r["spec"] = spec
	}
	return r
}

func (f *fleet) start(b *testing.B, i int, ports []int) {
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	domain, name := fmt.Sprintf("d%d", i%fleetDomains), fmt.Sprintf("vm-%d", i)
	settings, err := json.Marshal(map[string]any{
		"vm": name, "domain": domain,
		"callers":   map[string]any{"address": address(ports[0]), "plain": true},
		"peers":     map[string]any{"address": address(ports[1]), "plain": true},
		"operators": map[string]any{"address": address(ports[2]), "plain": true, "openAdministration": true},
		"platform": map[string]any{
			"table": f.platform.URL, "objects": f.platform.URL + "/objects", "vms": f.platform.URL + "/vms",
		},
	})
	require.NoError(b, err)
	path := filepath.Join(b.TempDir(), name+".json")
	require.NoError(b, os.WriteFile(path, settings, 0o600))
	command := exec.CommandContext(context.Background(), filepath.Join("..", "bergamotroad"), "serve", path)
	require.NoError(b, command.Start())
	f.commands = append(f.commands, command)
	f.resources = append(f.resources, resource("vm", name, map[string]any{
		"site": domain, "callerAddress": address(ports[0]), "peerAddress": address(ports[1]),
	}))
}

func (f *fleet) stop() {
	for _, c := range f.commands {
		_ = c.Process.Signal(syscall.SIGKILL)
	}
	for _, c := range f.commands {
		_ = c.Wait()
	}
	f.platform.Close()
}

// awaitOK waits until an address answers with status 200.
func (f *fleet) awaitOK(b *testing.B, address string) {
	for range readyAttempts {
		response, err := http.Get(address)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.stop()
	b.Fatalf("%s did not answer with status 200 in time", address)
}

// apply applies the resources with a label that makes them differ from the last round.
func (f *fleet) apply(b *testing.B, resources []map[string]any, round int) {
	for _, r := range resources {
		r["labels"] = map[string]string{"round": strconv.Itoa(round)}
	}
	body, err := json.Marshal(resources)
	require.NoError(b, err)
	response, err := http.Post(f.operatorURL+"/v1/apply", "application/json", bytes.NewReader(body))
	require.NoError(b, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(b, http.StatusOK, response.StatusCode)
}

// processorTime returns the processor time of all VMs in milliseconds.
func (f *fleet) processorTime(b *testing.B) float64 {
	const userTime, systemTime = 11, 12 // indexes of the fields after the command name
	ticks := 0
	for _, c := range f.commands {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process.Pid))
		require.NoError(b, err)
		_, rest, _ := strings.Cut(string(stat), ") ")
		fields := strings.Fields(rest)
		for _, field := range []int{userTime, systemTime} {
			n, err := strconv.Atoi(fields[field])
			require.NoError(b, err)
			ticks += n
		}
	}
	return float64(ticks) * float64(clockTick.Milliseconds())
}

// resident returns the resident memory of all VMs in MB.
func (f *fleet) resident(b *testing.B) float64 {
	pages := 0
	for _, c := range f.commands {
		statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.Process.Pid))
		require.NoError(b, err)
		n, err := strconv.Atoi(strings.Fields(string(statm))[1])
		require.NoError(b, err)
		pages += n
	}
	return float64(pages) * float64(os.Getpagesize()) / 1e6
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c countingWriter) Write(body []byte) (int, error) {
	c.bytes.Add(int64(len(body)))
	return c.ResponseWriter.Write(body)
}

func freePorts(b *testing.B, count int) []int {
	ports := []int{}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports
}
