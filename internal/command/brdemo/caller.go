package brdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
)

const (
	callersPerOrganisation = 6
	pauseSteady            = 20 * time.Millisecond
	pauseOverload          = 5 * time.Millisecond
	callTimeout            = 20 * time.Second
	lookupPath             = "/.well-known/bergamotroad/lookup"
	headerFate             = "Bergamotroad-Fate"
	headerReason           = "Bergamotroad-Reason"
	onceInterval           = 4 // one in so many requests goes to the route whose requests must not be repeated
	maxResponseBytes       = 1 << 16
	fateRan                = "ran"
	fateNotRun             = "not-run"
	reasonUnknownKey       = "unknown-key"
)

// record is one request and its outcome as the caller saw it.
type record struct {
	organisation string
	uri          string
	once         bool // must not be repeated
	sent         time.Time
	fate         string
	reason       string
	status       int
	matches      bool // the response body repeats the method and URI of the request
	interrupted  bool // the connection broke after it was established
}

// loadGenerator runs all callers and counts the outcomes of their requests.
type loadGenerator struct {
	clock    brclock.Clock
	fleet    *fleet
	wait     sync.WaitGroup
	stopping atomic.Bool
	overload atomic.Bool
	lookups  atomic.Int64
	sent     atomic.Int64
	ran      atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
	callers  []*caller
}

// caller sends requests one at a time over a persistent connection. Until it has stopped,
// only its own goroutine accesses its records.
type caller struct {
	generator    *loadGenerator
	organisation string
	name         string
	vm           string
	client       *http.Client
	records      []record
}

func newLoadGenerator(clock brclock.Clock, fleet *fleet) *loadGenerator {
	g := &loadGenerator{clock: clock, fleet: fleet}
	for _, organisation := range []string{orgSteady, orgOverRate, orgRevoked} {
		for i := range callersPerOrganisation {
			g.callers = append(g.callers, &caller{
				generator:    g,
				organisation: organisation,
				name:         fmt.Sprintf("%s-%d", organisation, i),
				vm:           fleet.vms[i%len(fleet.vms)].callerAddress,
				client:       &http.Client{Transport: &http.Transport{}, Timeout: callTimeout},
			})
		}
	}
	return g
}

func (g *loadGenerator) start() {
	for _, caller := range g.callers {
		g.wait.Go(caller.run)
	}
}

// stop stops all callers after their current request and returns all records.
func (g *loadGenerator) stop() []record {
	g.stopping.Store(true)
	g.wait.Wait()
	all := []record{}
	for _, caller := range g.callers {
		all = append(all, caller.records...)
		caller.client.CloseIdleConnections()
	}
	return all
}

func (c *caller) run() {
	// The result is not used: a caller starts at the VM assigned to it and moves to
	// another when that VM closes the connection. The look-up is only counted, to check
	// that VMs answer look-ups.
	_ = c.checkLookup()
	for number := 0; !c.generator.stopping.Load(); number++ {
		c.send(number)
		_ = sleep(context.Background(), c.generator.clock, c.pause())
	}
}

func (c *caller) pause() time.Duration {
	if c.organisation == orgOverRate && c.generator.overload.Load() {
		return pauseOverload
	}
	if c.organisation == orgOverRate {
		// With this pause, all callers together send at most half the permitted rate.
		return callersPerOrganisation * 2 * time.Second / contractRate
	}
	return pauseSteady
}

func (c *caller) send(number int) {
	r := c.newRecord(number)
	request, err := http.NewRequest(http.MethodGet, "http://"+c.vm+r.uri, nil)
	if err != nil {
		return
	}
	if r.once {
		request.Method = http.MethodPost
	}
	request.Header.Set("Authorization", "Bearer "+apiKey(c.organisation))
	r.sent = c.generator.clock.Now()
	c.generator.sent.Add(1)
	response, err := c.client.Do(request)
	if err != nil {
		c.recordFailure(r, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.recordResponse(r, request.Method, response)
	if response.Close {
		_ = c.reconnect()
	}
}

func (c *caller) newRecord(number int) record {
	r := record{organisation: c.organisation, once: number%onceInterval == 0}
	path := pathLookup
	if r.once {
		path = pathLedger
	}
	r.uri = fmt.Sprintf("%s%s/%d", path, c.name, number)
	return r
}

// recordResponse reads the response to a request and records the outcome.
func (c *caller) recordResponse(r record, method string, response *http.Response) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	r.status = response.StatusCode
	r.fate = response.Header.Get(headerFate)
	r.reason = response.Header.Get(headerReason)
	r.interrupted = err != nil
	r.matches = strings.HasPrefix(string(body), method+" "+r.uri+" ")
	switch r.fate {
	case fateRan:
		c.generator.ran.Add(1)
	case fateNotRun:
		c.generator.refused.Add(1)
	default:
		c.generator.failed.Add(1)
	}
	c.records = append(c.records, r)
}

// recordFailure records a request without a response and moves the caller to another
// VM. A request whose connection was refused does not count as interrupted.
func (c *caller) recordFailure(r record, err error) {
	fault, ok := errors.Into[*net.OpError](err)
	refused := ok && fault.Op == "dial"
	r.interrupted = !refused
	if r.interrupted {
		c.generator.failed.Add(1)
	}
	c.records = append(c.records, r)
	_ = c.reconnect()
}

// reconnect looks up VMs at a random one and continues with a random VM of the response.
func (c *caller) reconnect() error {
	c.vm = c.generator.fleet.vms[rand.IntN(len(c.generator.fleet.vms))].callerAddress
	result, err := c.lookUp()
	if err != nil {
		return err
	}
	c.vm = result.VMs[rand.IntN(len(result.VMs))].Address
	return nil
}

type lookupResponse struct {
	VMs []lookupVM `json:"vms"`
}

type lookupVM struct {
	Address string `json:"address"`
}

func (c *caller) checkLookup() error {
	_, err := c.lookUp()
	return err
}

func (c *caller) lookUp() (lookupResponse, error) {
	response, err := c.client.Get("http://" + c.vm + lookupPath)
	if err != nil {
		return lookupResponse{}, errors.Errorf("look up: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	result := lookupResponse{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&result); err != nil {
		return lookupResponse{}, errors.Errorf("decode look-up response: %w", err)
	}
	if len(result.VMs) == 0 {
		return lookupResponse{}, errors.New("look-up response contains no VM")
	}
	c.generator.lookups.Add(1)
	return result, nil
}
