package tests

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/service/brnode"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
	"bergamotroad.example/bergamotroad/internal/standin/brserver"
)

const (
	benchSlots       = 8
	benchServiceTime = time.Millisecond
	// halfLoad is the number of callers that occupy half of the slots.
	halfLoad = benchSlots / 2
	// warmupRequests is the number of requests after which the concurrency limit of the
	// VM has grown to the slots of the server.
	warmupRequests = 500
	settleDelay    = 2 * time.Second // from the start of a VM until it is measured without requests
	idlePeriod     = time.Second     // measured in one iteration of BenchmarkIdleVM
)

// BenchmarkDirect measures requests to a server without a VM, for comparison.
func BenchmarkDirect(b *testing.B) {
	server := httptest.NewServer(brserver.New(benchSlots, benchServiceTime))
	defer server.Close()
	measureCalls(b, server.URL+"/open/1")
}

// BenchmarkThroughVM measures requests to a server through a VM.
func BenchmarkThroughVM(b *testing.B) {
	server := httptest.NewServer(brserver.New(benchSlots, benchServiceTime))
	defer server.Close()
	measureCalls(b, startVM(b, server.Listener.Addr().String())+"/open/1")
}

// BenchmarkThroughVMNoService measures requests through a VM to a server without service
// time.
func BenchmarkThroughVMNoService(b *testing.B) {
	server := httptest.NewServer(brserver.New(benchSlots, 0))
	defer server.Close()
	measureCalls(b, startVM(b, server.Listener.Addr().String())+"/open/1")
}

// BenchmarkIdleVM measures the processor time of a VM and its stand-in platform without
// requests.
func BenchmarkIdleVM(b *testing.B) {
	server := httptest.NewServer(brserver.New(benchSlots, 0))
	defer server.Close()
	startVM(b, server.Listener.Addr().String())
	time.Sleep(settleDelay)
	b.ResetTimer()
	before := processorTime(b)
	for range b.N {
		time.Sleep(idlePeriod)
	}
	used := processorTime(b) - before
	b.ReportMetric(100*used.Seconds()/b.Elapsed().Seconds(), "%core")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	usage := syscall.Rusage{}
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// startVM starts a VM in front of one server, in this process, and returns the base URL for
// callers.
func startVM(t testing.TB, server string) string {
	t.Helper()
	platform := httptest.NewServer(newPlatform())
	t.Cleanup(platform.Close)
	callers, peers, operators := benchAddress(t), benchAddress(t), benchAddress(t)
	settings, err := brsettings.Parse(fmt.Appendf(nil, `{
	  "vm": "vm-1", "domain": "a", "drain": {"lookups": "0s"},
	  "callers": {"address": %q, "plain": true}, "peers": {"address": %q, "plain": true},
	  "operators": {"address": %q, "plain": true, "openAdministration": true},
	  "platform": {"table": %q, "objects": %q, "vms": %q}}`,
		callers, peers, operators, platform.URL, platform.URL+"/objects", platform.URL+"/vms"))
	require.NoError(t, err)
	node, err := brnode.New(settings, brclock.NewSystem(), log.New(io.Discard))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	resources := fmt.Appendf(nil, `[
	  {"kind": "region", "name": "r"},
	  {"kind": "domain", "name": "a", "spec": {"region": "r"}},
	  {"kind": "site", "name": "a", "spec": {"domain": "a"}},
	  {"kind": "vm", "name": "vm-1", "spec": {"site": "a", "callerAddress": %q, "peerAddress": %q}},
	  {"kind": "service", "name": "open"},
	  {"kind": "server", "name": "open-1", "spec": {"service": "open", "domain": "a", "address": %q, "slots": %d}},
	  {"kind": "route", "name": "open", "spec": {"service": "open", "pathPrefix": "/open", "repeat": "any", "open": true}}
	]`, callers, peers, server, benchSlots)
	response, err := http.Post("http://"+operators+"/v1/apply", "application/json", bytes.NewReader(resources))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	return "http://" + callers
}

func benchAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// measureCalls sends b.N requests from halfLoad concurrent callers and reports their
// latency and throughput.
func measureCalls(b *testing.B, url string) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: halfLoad}}
	defer client.CloseIdleConnections()
	for range warmupRequests {
		_, _ = getOnce(client, url)
	}
	durations := make([][]time.Duration, halfLoad)
	failed := make([]int, halfLoad)
	wait := sync.WaitGroup{}
	b.ResetTimer()
	for i := range halfLoad {
		wait.Go(func() {
			for n := i; n < b.N; n += halfLoad {
				start := time.Now()
				status, err := getOnce(client, url)
				if err != nil || status != http.StatusOK {
					failed[i]++
				}
				durations[i] = append(durations[i], time.Since(start))
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	all := slices.Sorted(slices.Values(slices.Concat(durations...)))
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	total := 0
	for _, count := range failed {
		total += count
	}
	b.ReportMetric(float64(total), "failed")
}

func getOnce(client *http.Client, url string) (int, error) {
	response, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
