package brfollower_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/codec/brdocument"
	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/duty/brdistributor"
	"bergamotroad.example/bergamotroad/internal/duty/brfollower"
	"bergamotroad.example/bergamotroad/internal/duty/brpoller"
	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

// cluster is a set of VMs that run the real duties over an in-memory message bus.
type cluster struct {
	mutex    sync.Mutex
	faults   *brplatform.Faults
	table    *brplatform.Table
	objects  *brplatform.ObjectStore
	vms      []*vm
	cut      map[[2]string]bool
	tableCut map[string]bool
	corrupt  int
	lost     int
	messages atomic.Int64
	bytes    atomic.Int64
	head     brdocument.Head
}

type vm struct {
	name        string
	domain      string
	cluster     *cluster
	group       *brduty.Group
	distributor *brdistributor.Distributor
	handler     http.Handler
	events      *recorder
	highest     uint64
}

type recorder struct {
	mutex sync.Mutex
	kinds map[brevent.Kind]int
}

func (r *recorder) Record(event brevent.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.kinds[event.Kind()]++
}

func (r *recorder) count(kind brevent.Kind) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.kinds[kind]
}

type noTimeline struct{}

func (noTimeline) Read(context.Context, uint64, int) (brtimeline.Page, error) {
	return brtimeline.Page{}, nil
}

func newCluster(domains, vmsEach int) *cluster {
	faults := brplatform.NewFaults()
	c := &cluster{
		faults:   faults,
		table:    brplatform.NewTable(faults),
		objects:  brplatform.NewObjectStore(faults),
		cut:      map[[2]string]bool{},
		tableCut: map[string]bool{},
	}
	for i := range domains * vmsEach {
		c.vms = append(c.vms, &vm{name: fmt.Sprintf("vm-%03d", i), domain: fmt.Sprintf("domain-%d", i%domains), cluster: c})
	}
	return c
}

func (c *cluster) start() {
	for _, v := range c.vms {
		v.start()
	}
}

func (c *cluster) stop() {
	for _, v := range c.vms {
		v.group.Stop()
	}
}

func (c *cluster) members() brmember.List {
	members := []brmember.Member{}
	for _, v := range c.vms {
		members = append(members, brmember.New(v.name, v.domain, v.name))
	}
	return brmember.NewList(members)
}

// start creates and starts the VM's duties, without any configuration.
func (v *vm) start() {
	clock := brclock.NewSystem()
	logger := log.New(io.Discard)
	v.events = &recorder{kinds: map[brevent.Kind]int{}}
	v.highest = 0
	v.distributor = brdistributor.New(clock, v.events)
	observer := &generations{distributor: v.distributor}
	client := &http.Client{Transport: brentry.NewTransport(v.name, observer, &bus{from: v})}
	poller := brpoller.New(v.name, v.domain, clock, &table{Table: v.cluster.table, vm: v}, v.cluster.objects, v.distributor, logger)
	follower := brfollower.New(v.name, v.domain, clock, brentry.NewDialer(client), v.distributor, poller, logger)
	observer.follower = follower
	v.cluster.mutex.Lock()
	v.handler = brentry.WithGeneration(v.name, observer, brentry.NewHandler(clock, v.distributor, noTimeline{}))
	v.cluster.mutex.Unlock()
	_ = poller.Members().Send(v.cluster.members())
	_ = follower.Members().Send(v.cluster.members())
	v.group = brduty.NewGroup(context.Background(), clock, failOnPanic{})
	v.group.Start(v.distributor.Duty(), poller.Duty(), follower.Duty())
}

func (v *vm) restart() {
	v.group.Stop()
	v.start()
}

type failOnPanic struct{}

func (failOnPanic) DutyStalled(string, int)                   {}
func (failOnPanic) DutyPanicked(name string, v any, _ []byte) { panic(fmt.Sprint(name, v)) }

type generations struct {
	distributor *brdistributor.Distributor
	follower    *brfollower.Follower
}

func (g *generations) Generation() uint64 { return g.distributor.Generation() }
func (g *generations) ObserveGeneration(vm string, number uint64) {
	g.follower.ObserveGeneration(vm, number)
}

// table is the platform's table as seen by one VM, which may be cut off from it.
type table struct {
	brtable.Table
	vm *vm
}

func (t *table) Read(ctx context.Context, key string) (brtable.Row, error) {
	t.vm.cluster.mutex.Lock()
	unreachable := t.vm.cluster.tableCut[t.vm.name]
	t.vm.cluster.mutex.Unlock()
	if unreachable {
		return brtable.Row{}, brtable.NewErrUnavailable(errors.New("network partition"))
	}
	return t.Table.Read(ctx, key)
}

// bus delivers requests of one VM to the handlers of the others.
type bus struct {
	from *vm
}

func (b *bus) RoundTrip(request *http.Request) (*http.Response, error) {
	c := b.from.cluster
	to, handler := c.find(request.URL.Host)
	if handler == nil || c.isCut(b.from.name, to) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorded := httptest.NewRecorder()
	handler.ServeHTTP(recorded, request)
	if c.isCut(b.from.name, to) || c.takeFault(&c.lost) {
		return nil, errors.New("response lost")
	}
	body := recorded.Body.Bytes()
	c.messages.Add(1)
	c.bytes.Add(int64(len(body)) + request.ContentLength)
	if len(body) > 0 && c.takeFault(&c.corrupt) {
		body = bytes.Clone(body)
		body[len(body)/2] ^= 0x20
	}
	response := recorded.Result()
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

func (c *cluster) find(name string) (string, http.Handler) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, v := range c.vms {
		if v.name == name {
			return name, v.handler
		}
	}
	return name, nil
}

func (c *cluster) takeFault(count *int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

func (c *cluster) isCut(a, b string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cut[[2]string{min(a, b), max(a, b)}]
}

func (c *cluster) setCut(a, b string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut[[2]string{min(a, b), max(a, b)}] = true
}

func (c *cluster) cutFromTable(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.tableCut[name] = true
}

func (c *cluster) setFaults(corrupt, lost int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.corrupt, c.lost = corrupt, lost
}

// heal removes all faults.
func (c *cluster) heal() {
	c.faults.SetDown(false)
	c.putHead(c.head)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	clear(c.cut)
	clear(c.tableCut)
	c.corrupt, c.lost = 0, 0
}

// accept commits a set of changes to the platform, as the VM that serves an operator does.
func (c *cluster) accept(changes ...brconfig.Change) {
	c.faults.SetDown(false)
	operation := fmt.Sprintf("operation-%d", c.head.Generation()+1)
	data, err := brdocument.EncodeDelta(brdocument.NewDelta(c.head, operation, "test", changes))
	if err != nil {
		panic(err)
	}
	c.head = brdocument.NewHead(c.head.Generation()+1, operation, data)
	if err := c.objects.Put(context.Background(), c.head.DeltaName(), data); err != nil {
		panic(err)
	}
	c.putHead(c.head)
}

func (c *cluster) putHead(head brdocument.Head) {
	ctx := context.Background()
	version := int64(0)
	if row, err := c.table.Read(ctx, brdocument.HeadKey); err == nil {
		version = row.Version()
	}
	if head.Generation() == 0 && version == 0 {
		return
	}
	data, err := brdocument.EncodeHead(head)
	if err == nil {
		err = c.table.Commit(ctx, brtable.NewTransaction().Require(brdocument.HeadKey, version).Put(brdocument.HeadKey, data))
	}
	if err != nil {
		panic(err)
	}
}

func region(number uint64) brconfig.Change {
	return brconfig.Put(brconfig.NewRegion(brconfig.NewMeta(fmt.Sprintf("region-%d", number))))
}

// lagging describes a VM that is not at the newest generation, or returns "".
func (c *cluster) lagging() string {
	for _, v := range c.vms {
		if v.distributor.Generation() != c.head.Generation() {
			return fmt.Sprintf("%s at %d of %d", v.name, v.distributor.Generation(), c.head.Generation())
		}
	}
	return ""
}

// waitInForce waits until all VMs are at the newest generation and returns how long that took.
func (c *cluster) waitInForce(limit time.Duration) time.Duration {
	const pollInterval = 10 * time.Millisecond
	began := time.Now()
	for c.lagging() != "" && time.Since(began) < limit {
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}
