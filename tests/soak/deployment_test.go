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
	firstPort        = 21001 // below the range of ephemeral ports
	serversPerPair   = 2     // servers per service and failure domain
	serviceTime      = 40 * time.Millisecond
	replacementDelay = 2 * time.Second // from the crash of a server by a request to its replacement
	blockCount       = 200             // blocks of loopback addresses to choose from
)

// Services of the deployment.
const (
	serviceLook  = "look"
	serviceEnter = "enter"
	serviceSpare = "spare"
)

var services = []string{serviceLook, serviceEnter, serviceSpare}

func initialRoutes() []brstandin.Route {
	return []brstandin.Route{
		brstandin.NewRoute("r-look", "/look/", serviceLook, true, 2*time.Second),
		brstandin.NewRoute("r-enter", "/enter/", serviceEnter, false, 2*time.Second),
		brstandin.NewRoute("r-home", "/home/", serviceLook, true, 2*time.Second).WithAllowedRegions("north"),
		brstandin.NewRoute("r-open", "/open/", serviceEnter, true, time.Second).WithPublic(),
	}
}

func initialOrganisations() []brstandin.Organisation {
	return []brstandin.Organisation{
		brstandin.NewOrganisation("depot", 0, 0, "key-depot"),
		brstandin.NewOrganisation("taller", 8, 8, "key-taller"),
		brstandin.NewOrganisation("studio", 0, 0, "key-studio"),
	}
}

// deployment is the system under test: the store, backend servers, entry VMs and the
// proxies between them, through which faults are injected.
type deployment struct {
	t            *testing.T
	folder       string
	store        *brstandin.Store
	cloud        *brstandin.Cloud
	checker      *checker
	disturbances *disturbances
	history      *configHistory
	addressBlock int // loopback addresses: 127.block.1.x for VMs, 127.block.2.x for the proxies to them
	vms          []*entryVM
	proxies      map[string]*proxy // by server ID

	mutex            sync.Mutex
	servers          []*brstandin.Server
	lastServerNumber int
	version          int // of the configuration
	routes           []brstandin.Route
	revoked          map[string]bool // organisations whose key is revoked
	started          time.Time
	steps            []string // log of the injected faults
}

func newDeployment(t *testing.T, vms int) *deployment {
	t.Helper()
	folder, err := os.MkdirTemp("", "soak-*")
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{
		t: t, folder: folder, store: brstandin.NewStore(), cloud: brstandin.NewCloud(), disturbances: newDisturbances(), history: newConfigHistory(),
		proxies: map[string]*proxy{}, routes: initialRoutes(), revoked: map[string]bool{}, started: time.Now(),
		addressBlock: freeBlock(t),
	}
	d.store.SetEra(1)
	t.Cleanup(d.cloud.Close)
	d.checker = newChecker(d.disturbances, d.history)
	d.store.SetRewrite(func(table, _ string, value []byte) []byte {
		return brstandin.RewritePeerAddress(table, value, d.proxyAddress)
	})
	for _, service := range services {
		for _, domain := range domains {
			for range serversPerPair {
				d.addServer(service, "v1", domain)
			}
		}
	}
	d.configure()
	for range vms {
		d.addVM()
	}
	return d
}

// freeBlock reserves a block of loopback addresses that no other run uses, until the end
// of the test.
func freeBlock(t *testing.T) int {
	t.Helper()
	for i := range blockCount {
		block := 16 + (os.Getpid()+i)%blockCount
		listener, err := reserveBlock(block)
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return block
		}
	}
	t.Fatal("all blocks of loopback addresses are in use")
	return 0
}

// reserveBlock reserves a block of loopback addresses until the listener is closed. It
// fails if another run has reserved the block.
func reserveBlock(block int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.%d.3.1:%d", block, firstPort))
}

// proxyAddress returns the address of the proxy in front of an address of a VM.
func (d *deployment) proxyAddress(address string) string {
	return strings.Replace(address, fmt.Sprintf("127.%d.1.", d.addressBlock), fmt.Sprintf("127.%d.2.", d.addressBlock), 1)
}

// addVM adds a VM with its proxies. It does not start it.
func (d *deployment) addVM() *entryVM {
	number := len(d.vms) + 1
	name := "vm-" + strconv.Itoa(number)
	ports := []int{firstPort, firstPort + 1, firstPort + 2, firstPort + 3}
	storeProxy := newProxy(d.t, "127.0.0.1:0", d.serveStoreTo(name))
	spec := brstandin.NewVM(name, fmt.Sprintf("127.%d.1.%d", d.addressBlock, number), domains[(number-1)%len(domains)], regions, ports).
		WithStore(storeProxy.address()).
		WithCloud(d.cloud.Address()).
		WithSeeds(fmt.Sprintf("127.%d.2.1", d.addressBlock), fmt.Sprintf("127.%d.2.2", d.addressBlock), fmt.Sprintf("127.%d.2.3", d.addressBlock))
	v := newEntryVM(d.t, spec, d.folder, d.checker.reportViolation)
	v.storeProxy = storeProxy
	v.peerProxy = newProxy(d.t, d.proxyAddress(spec.PeerAddress()), spec.PeerAddress())
	v.callerProxy = newProxy(d.t, d.proxyAddress(spec.CallerAddress()), spec.CallerAddress())
	d.vms = append(d.vms, v)
	d.t.Cleanup(func() { v.remove(syscall.SIGKILL) })
	return v
}

// serveStoreTo serves the store to one VM and returns the address of the server.
func (d *deployment) serveStoreTo(name string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	server := &http.Server{Handler: d.store.Handler(name), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	d.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// vmAt returns the VM with an address for callers, or nil.
func (d *deployment) vmAt(address string) *entryVM {
	for _, v := range d.allVMs() {
		if v.spec.CallerAddress() == address {
			return v
		}
	}
	return nil
}

func (d *deployment) allVMs() []*entryVM {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([]*entryVM{}, d.vms...)
}

// addServer starts a backend server behind a proxy and registers it.
func (d *deployment) addServer(service, version, domain string) *brstandin.Server {
	d.mutex.Lock()
	d.lastServerNumber++
	id := fmt.Sprintf("i-%03d", d.lastServerNumber)
	d.mutex.Unlock()
	s := brstandin.NewUnregisteredServer(d.store, id, service, domain, version)
	s.SetServiceTime(serviceTime)
	s.OnRequest(d.checker.checkArrival)
	s.OnRefusal(d.checker.recordRefusal)
	s.OnBody(d.checker.checkBody)
	s.OnEnd(d.checker.recordEnd)
	s.SetMalformedResponses(malformedResponses())
	s.CrashOn(func(a brstandin.ReceivedRequest) bool {
		poison := isPoison(a.Text())
		if poison {
			d.crash(s)
			time.AfterFunc(replacementDelay, func() { d.replace(s) })
		}
		return poison
	})
	p := newProxy(d.t, "127.0.0.1:0", s.Address())
	s.Advertise(p.address())
	d.t.Cleanup(s.Close)
	d.mutex.Lock()
	d.servers = append(d.servers, s)
	d.proxies[id] = p
	d.mutex.Unlock()
	s.Report("ready")
	return s
}

// dropServer removes a server from the servers that faults can target.
func (d *deployment) dropServer(s *brstandin.Server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for i, other := range d.servers {
		if other == s {
			d.servers = append(d.servers[:i:i], d.servers[i+1:]...)
			return
		}
	}
}

// crash stops a server and its proxy, so that connections to either are refused.
func (d *deployment) crash(s *brstandin.Server) {
	d.markCrashed(s)
	s.Close()
	d.proxyOf(s).close()
}

// markCrashed excludes a crashed server from further faults and checks.
func (d *deployment) markCrashed(s *brstandin.Server) {
	d.dropServer(s)
	d.disturbances.add(s.ID(), time.Now(), time.Now().Add(time.Hour))
}

// replace starts another server in place of one that has crashed.
func (d *deployment) replace(s *brstandin.Server) {
	s.Unregister()
	d.addServer(s.Service(), s.Version(), s.Domain())
}

func (d *deployment) proxyOf(s *brstandin.Server) *proxy {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.proxies[s.ID()]
}

// pickServer returns one of the servers, or nil if the servers of its service and
// version are fewer than half of the initial number.
func (d *deployment) pickServer(pick int) *brstandin.Server {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s := d.servers[pick%len(d.servers)]
	running := 0
	for _, other := range d.servers {
		if other.Service() == s.Service() && other.Version() == s.Version() {
			running++
		}
	}
	if running < serversPerPair*len(domains)/2 {
		return nil
	}
	return s
}

func (d *deployment) pickVM(pick int) *entryVM {
	all := d.allVMs()
	return all[pick%len(all)]
}

// configure writes the current configuration to the store. Its version increases by
// varying amounts, since versions need not be consecutive.
func (d *deployment) configure() {
	d.version += 1 + d.version%3
	d.history.configure(d.routes, initialOrganisations(), d.revoked)
	organisations := []brstandin.Organisation{}
	for _, o := range initialOrganisations() {
		if d.revoked[o.Name()] {
			o = brstandin.NewOrganisation(o.Name(), o.Rate(), o.Burst())
		}
		organisations = append(organisations, o)
	}
	brstandin.Configure(d.store, d.version, d.routes, organisations)
}

// logStep adds a line to the steps of the run.
func (d *deployment) logStep(format string, values ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	text := fmt.Sprintf(format, values...)
	d.steps = append(d.steps, fmt.Sprintf("%s %7.3f s  %s", time.Now().Format("15:04:05.000"), time.Since(d.started).Seconds(), text))
}

// startAll starts all VMs in a random order.
func (d *deployment) startAll(random *rand.Rand) {
	all := d.allVMs()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, v := range all {
		v.start()
	}
}

// writeSteps writes the steps of the run to a file next to the logs of the VMs.
func (d *deployment) writeSteps() {
	d.mutex.Lock()
	text := strings.Join(d.steps, "\n") + "\n"
	d.mutex.Unlock()
	if err := os.WriteFile(filepath.Join(d.folder, "steps.txt"), []byte(text), 0o600); err != nil {
		d.t.Logf("write steps: %v", err)
	}
}
