package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/platform/brstandin"
)

const (
	firstPort      = 21001 // below the range of ephemeral ports
	serversPerPair = 2     // servers per service and failure domain
	workTime       = 40 * time.Millisecond
	downTime       = 2 * time.Second // from the crash of a server by a request to its replacement
	blockCount     = 200             // candidate blocks of loopback addresses
)

// Services of the deployment.
const (
	serviceLook  = "look"
	serviceEnter = "enter"
	serviceSpare = "spare"
)

var services = []string{serviceLook, serviceEnter, serviceSpare}

func firstRoutes() []brstandin.Route {
	return []brstandin.Route{
		brstandin.NewRoute("r-look", "/look/", serviceLook, true, 2*time.Second),
		brstandin.NewRoute("r-enter", "/enter/", serviceEnter, false, 2*time.Second),
		brstandin.NewRoute("r-home", "/home/", serviceLook, true, 2*time.Second).WithHomes("north"),
		brstandin.NewRoute("r-open", "/open/", serviceEnter, true, time.Second).WithPublic(),
	}
}

func firstOrganisations() []brstandin.Organisation {
	return []brstandin.Organisation{
		brstandin.NewOrganisation("depot", 0, 0, "key-depot"),
		brstandin.NewOrganisation("taller", 8, 8, "key-taller"),
		brstandin.NewOrganisation("studio", 0, 0, "key-studio"),
	}
}

// world is a deployment into which faults are injected: the store, backend servers,
// entry VMs and the proxies between them.
type world struct {
	t        *testing.T
	folder   string
	store    *brstandin.Store
	ledger   *ledger
	calm     *calm
	rules    *rules
	block    int // loopback addresses: 127.block.1.x for VMs, 127.block.2.x for the proxies to them
	machines []*machine
	proxies  map[string]*proxy // by server ID

	mutex     sync.Mutex
	servers   []*brstandin.Server
	numbered  int
	version   int
	routes    []brstandin.Route
	withdrawn map[string]bool
	started   time.Time
	steps     []string
}

func newWorld(t *testing.T, vms int) *world {
	t.Helper()
	folder, err := os.MkdirTemp("", "soak-*")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, folder: folder, store: brstandin.NewStore(), calm: newCalm(), rules: newRules(),
		proxies: map[string]*proxy{}, routes: firstRoutes(), withdrawn: map[string]bool{}, started: time.Now(),
		block: freeBlock(t),
	}
	w.ledger = newLedger(w.calm, w.rules)
	w.store.Rewrite(func(table, _ string, value []byte) []byte {
		return brstandin.PeerAddressOf(table, value, w.peerProxy)
	})
	for _, service := range services {
		for _, domain := range domains {
			for range serversPerPair {
				w.addServer(service, "v1", domain)
			}
		}
	}
	w.configure()
	for range vms {
		w.addMachine()
	}
	return w
}

// freeBlock reserves a block of loopback addresses that no other run uses.
func freeBlock(t *testing.T) int {
	t.Helper()
	for i := range blockCount {
		block := 16 + (os.Getpid()+i)%blockCount
		guard, err := newGuard(block)
		if err == nil {
			t.Cleanup(func() { _ = guard.Close() })
			return block
		}
	}
	t.Fatal("all blocks of loopback addresses are in use")
	return 0
}

// peerProxy returns the address of the proxy in front of an address of a VM.
func (w *world) peerProxy(address string) string {
	return strings.Replace(address, fmt.Sprintf("127.%d.1.", w.block), fmt.Sprintf("127.%d.2.", w.block), 1)
}

// addMachine adds a VM with its proxies. It does not start it.
func (w *world) addMachine() *machine {
	number := len(w.machines) + 1
	name := "vm-" + strconv.Itoa(number)
	ports := []int{firstPort, firstPort + 1, firstPort + 2, firstPort + 3}
	toStore := newProxy(w.t, "127.0.0.1:0", w.storeFor(name))
	site := brstandin.NewSite(name, fmt.Sprintf("127.%d.1.%d", w.block, number), domains[(number-1)%len(domains)], regions, ports).
		WithStore(toStore.address()).
		WithSeeds(fmt.Sprintf("127.%d.2.1", w.block), fmt.Sprintf("127.%d.2.2", w.block), fmt.Sprintf("127.%d.2.3", w.block))
	m := newMachine(w.t, site, w.folder, w.ledger.report)
	m.toStore = toStore
	m.toPeer = newProxy(w.t, w.peerProxy(site.PeerAddress()), site.PeerAddress())
	m.toFront = newProxy(w.t, w.peerProxy(site.CallerAddress()), site.CallerAddress())
	w.machines = append(w.machines, m)
	w.t.Cleanup(func() { m.remove(syscall.SIGKILL) })
	return m
}

// storeFor serves the store to one VM and returns the address of the server.
func (w *world) storeFor(name string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	server := &http.Server{Handler: w.store.For(name), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	w.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// machineAt returns the VM that callers reach at an address, or nil.
func (w *world) machineAt(address string) *machine {
	for _, m := range w.all() {
		if m.site.CallerAddress() == address {
			return m
		}
	}
	return nil
}

func (w *world) all() []*machine {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]*machine{}, w.machines...)
}

// addServer starts a backend server behind a proxy and registers it.
func (w *world) addServer(service, version, domain string) *brstandin.Server {
	w.mutex.Lock()
	w.numbered++
	id := fmt.Sprintf("i-%03d", w.numbered)
	w.mutex.Unlock()
	s := brstandin.NewQuietServer(w.store, id, service, domain, version)
	s.SetWork(workTime)
	s.Watched(w.ledger.arrive)
	s.DiesOf(func(a brstandin.Arrival) bool {
		deadly := isDeadly(a.Call())
		if deadly {
			w.crash(s)
			time.AfterFunc(downTime, func() { w.replace(s) })
		}
		return deadly
	})
	p := newProxy(w.t, "127.0.0.1:0", s.Address())
	s.Through(p.address())
	w.t.Cleanup(s.Close)
	w.mutex.Lock()
	w.servers = append(w.servers, s)
	w.proxies[id] = p
	w.mutex.Unlock()
	s.Report("ready")
	return s
}

// dropServer removes a server from the list of servers that faults can target.
func (w *world) dropServer(s *brstandin.Server) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i, other := range w.servers {
		if other == s {
			w.servers = append(w.servers[:i:i], w.servers[i+1:]...)
			return
		}
	}
}

// crash stops a server. Its proxy accepts no connections any more either.
func (w *world) crash(s *brstandin.Server) {
	w.forget(s)
	s.Close()
	w.proxyOf(s).close()
}

// forget records that a server has crashed.
func (w *world) forget(s *brstandin.Server) {
	w.dropServer(s)
	w.calm.disturb(s.ID(), time.Now(), time.Now().Add(time.Hour))
}

// replace starts another server in place of one that has crashed.
func (w *world) replace(s *brstandin.Server) {
	s.Unregister()
	w.addServer(s.Service(), s.Version(), s.Zone())
}

func (w *world) proxyOf(s *brstandin.Server) *proxy {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.proxies[s.ID()]
}

// someServer returns one of the servers, or nil if fewer than half of the initial
// servers of its service and version run.
func (w *world) someServer(pick int) *brstandin.Server {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s := w.servers[pick%len(w.servers)]
	alike := 0
	for _, other := range w.servers {
		if other.Service() == s.Service() && other.Version() == s.Version() {
			alike++
		}
	}
	if alike < serversPerPair*len(domains)/2 {
		return nil
	}
	return s
}

func (w *world) someMachine(pick int) *machine {
	all := w.all()
	return all[pick%len(all)]
}

// configure writes the current configuration to the store.
func (w *world) configure() {
	w.version += 1 + w.version%3
	w.rules.configure(w.routes, firstOrganisations(), w.withdrawn)
	organisations := []brstandin.Organisation{}
	for _, o := range firstOrganisations() {
		if w.withdrawn[o.Name()] {
			o = brstandin.NewOrganisation(o.Name(), o.Rate(), o.Burst())
		}
		organisations = append(organisations, o)
	}
	brstandin.Configure(w.store, w.version, w.routes, organisations)
}

func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	text := fmt.Sprintf(format, values...)
	w.steps = append(w.steps, fmt.Sprintf("%s %7.3f s  %s", time.Now().Format("15:04:05.000"), time.Since(w.started).Seconds(), text))
}

// startAll starts all VMs in a random order.
func (w *world) startAll(random *rand.Rand) {
	all := w.all()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, m := range all {
		m.start()
	}
}

// tell writes the steps of the run to a file next to the logs of the VMs.
func (w *world) tell() {
	w.mutex.Lock()
	text := strings.Join(w.steps, "\n") + "\n"
	w.mutex.Unlock()
	if err := os.WriteFile(filepath.Join(w.folder, "steps.txt"), []byte(text), 0o600); err != nil {
		w.t.Logf("write steps: %v", err)
	}
}
