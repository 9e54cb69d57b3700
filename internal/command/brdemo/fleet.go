package brdemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/peer/bradmin"
	"bergamotroad.example/bergamotroad/internal/peer/brvmlist"
	"bergamotroad.example/bergamotroad/internal/service/brnode"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
	"bergamotroad.example/bergamotroad/internal/standin/brserver"
)

const (
	serverSlots    = 4
	serviceTime    = 4 * time.Millisecond
	readyTimeout   = 30 * time.Second
	readyPeriod    = 20 * time.Millisecond
	stoppedVM      = 2 // index of the VM that is stopped during the run
	leavingServer  = 0 // index of the server that is set to leaving
	administeredVM = 0 // index of the VM whose administration API is used
)

// vmDomains holds the failure domain of each VM.
var vmDomains = []string{"montevideo-a", "montevideo-a", "montevideo-b", "este-a", "este-a", "este-b"}

// vm is one entry VM.
type vm struct {
	name            string
	domain          string
	callerAddress   string
	peerAddress     string
	operatorAddress string
	cancel          context.CancelFunc
	done            chan error
}

// server is one backend server and the HTTP server in front of it.
type server struct {
	name       string
	service    string
	domain     string
	address    string
	backend    *brserver.Server
	httpServer *http.Server
}

// fleet holds the VMs, the backend servers and the in-memory platform.
type fleet struct {
	clock    brclock.Clock
	faults   *brplatform.Faults
	platform *http.Server
	vms      []*vm
	servers  []*server
	stopped  chan error // receives the result of the VM that was stopped during the run
}

func startFleet(ctx context.Context, clock brclock.Clock) (*fleet, error) {
	f := &fleet{clock: clock, faults: brplatform.NewFaults(), stopped: make(chan error, 1)}
	if err := f.start(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	list := brplatform.NewVMList(f.faults)
	platform, err := f.startPlatform(list)
	if err != nil {
		return err
	}
	if err := f.startServers(); err != nil {
		return err
	}
	entries := []brvmlist.Entry{}
	for i, domain := range vmDomains {
		v, err := f.startVM(ctx, fmt.Sprintf("vm-%d", i+1), domain, platform)
		if err != nil {
			return err
		}
		f.vms = append(f.vms, v)
		entries = append(entries, brvmlist.NewEntry(v.name, v.peerAddress, false))
	}
	list.Set(entries)
	return nil
}

func (f *fleet) startPlatform(list *brplatform.VMList) (string, error) {
	mux := http.NewServeMux()
	mux.Handle("/v3/kv/", brplatform.NewTable(f.faults))
	mux.Handle("/objects/", http.StripPrefix("/objects", brplatform.NewObjectStore(f.faults)))
	mux.Handle("/vms", list)
	httpServer, address, err := serve(mux)
	f.platform = httpServer
	return "http://" + address, err
}

func (f *fleet) startServers() error {
	for _, domain := range distinctDomains() {
		for _, service := range []string{serviceLookup, serviceLedger} {
			backend := brserver.New(serverSlots, serviceTime)
			httpServer, address, err := serve(backend)
			if err != nil {
				return err
			}
			f.servers = append(f.servers, &server{
				name: service + "-" + domain, service: service, domain: domain,
				address: address, backend: backend, httpServer: httpServer,
			})
		}
	}
	return nil
}

// serve starts an HTTP server on a free local port.
func serve(handler http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Errorf("listen: %w", err)
	}
	httpServer := &http.Server{Handler: handler}
	go func() { _ = httpServer.Serve(listener) }()
	return httpServer, listener.Addr().String(), nil
}

func (f *fleet) startVM(ctx context.Context, name, domain, platform string) (*vm, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	v := &vm{name: name, domain: domain, callerAddress: addresses[0], peerAddress: addresses[1], operatorAddress: addresses[2], done: make(chan error, 1)}
	settings, err := brsettings.Parse(fmt.Appendf(nil, `{
	  "vm": %q, "domain": %q, "drain": {"lookups": "1s", "requests": "10s"},
	  "callers": {"address": %q, "plain": true}, "peers": {"address": %q, "plain": true},
	  "operators": {"address": %q, "plain": true, "openAdministration": true},
	  "platform": {"table": %q, "objects": %q, "vms": %q}}`,
		name, domain, v.callerAddress, v.peerAddress, v.operatorAddress, platform, platform+"/objects", platform+"/vms"))
	if err != nil {
		return nil, errors.Errorf("parse settings of %s: %w", name, err)
	}
	node, err := brnode.New(settings, f.clock, log.New(io.Discard))
	if err != nil {
		return nil, errors.Errorf("create %s: %w", name, err)
	}
	// The VM ignores cancellation of the context, so that it always ends with a
	// graceful stop through v.cancel.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	v.cancel = cancel
	go func() { v.done <- node.Run(running) }()
	return v, nil
}

// freeAddresses returns local addresses with unused ports.
func freeAddresses(count int) ([]string, error) {
	addresses := []string{}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Errorf("find free port: %w", err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (f *fleet) administration() *bradmin.Client {
	return bradmin.NewClient(&http.Client{Timeout: readyTimeout}, "http://"+f.vms[administeredVM].operatorAddress, "")
}

// configure applies the configuration and waits until every VM is ready with it.
func (f *fleet) configure(ctx context.Context) error {
	documents, err := f.documents()
	if err != nil {
		return err
	}
	if _, err := f.administration().Apply(ctx, documents, bradmin.ChangeOptions{}); err != nil {
		return errors.Errorf("apply: %w", err)
	}
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, v := range f.vms {
		if err := f.awaitReady(limited, v); err != nil {
			return errors.Errorf("%s is not ready: %w", v.name, err)
		}
	}
	return nil
}

func (f *fleet) awaitReady(ctx context.Context, v *vm) error {
	for {
		response, err := http.Get("http://" + v.operatorAddress + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := sleep(ctx, f.clock, readyPeriod); err != nil {
			return err
		}
	}
}

// stopVM starts the graceful stop of a VM.
func (f *fleet) stopVM(index int) {
	v := f.vms[index]
	v.cancel()
	go func() {
		err := <-v.done
		f.stopped <- err
		v.done <- err
	}()
}

// stop stops all VMs and servers and the platform.
func (f *fleet) stop() {
	for _, v := range f.vms {
		v.cancel()
	}
	for _, v := range f.vms {
		<-v.done
	}
	for _, s := range f.servers {
		_ = s.httpServer.Close()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
}

// distinctDomains returns each failure domain once.
func distinctDomains() []string {
	found := []string{}
	for _, d := range vmDomains {
		if len(found) == 0 || found[len(found)-1] != d {
			found = append(found, d)
		}
	}
	return found
}

func regionOf(domain string) string {
	region, _, _ := strings.Cut(domain, "-")
	return region
}
