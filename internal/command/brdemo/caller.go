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
	callersOfEach   = 6
	pauseSteady     = 20 * time.Millisecond
	pauseOverload   = 5 * time.Millisecond
	callTimeout     = 20 * time.Second
	lookupPath      = "/.well-known/bergamotroad/lookup"
	fieldFate       = "Bergamotroad-Fate"
	fieldReason     = "Bergamotroad-Reason"
	onceEveryNth    = 4 // every n-th request goes to the route that must not be repeated
	maxAnswerBytes  = 1 << 16
	fateRan         = "ran"
	fateNotRun      = "not-run"
	reasonOfUnknown = "unknown-key"
)

// record is one request and its outcome as the caller saw it.
type record struct {
	organisation string
	uri          string
	once         bool
	sent         time.Time
	fate         string
	reason       string
	status       int
	matches      bool // the response body repeats the method and URI of the request
	cut          bool // the connection broke after it was established
}

// crowd runs all callers and counts the outcomes of their requests. Each caller
// owns its records until it has stopped.
type crowd struct {
	clock    brclock.Clock
	fleet    *fleet
	wait     sync.WaitGroup
	ending   atomic.Bool
	overload atomic.Bool
	lookups  atomic.Int64
	sent     atomic.Int64
	ran      atomic.Int64
	refused  atomic.Int64
	failed   atomic.Int64
	callers  []*caller
}

// caller sends requests one at a time over a persistent connection.
type caller struct {
	crowd        *crowd
	organisation string
	name         string
	vm           string
	client       *http.Client
	records      []record
}

func newCrowd(clock brclock.Clock, fleet *fleet) *crowd {
	c := &crowd{clock: clock, fleet: fleet}
	for _, organisation := range []string{orgSteady, orgGreedy, orgWithdrawn} {
		for i := range callersOfEach {
			c.callers = append(c.callers, &caller{
				crowd:        c,
				organisation: organisation,
				name:         fmt.Sprintf("%s-%d", organisation, i),
				vm:           fleet.vms[i%len(fleet.vms)].callers,
				client:       &http.Client{Transport: &http.Transport{}, Timeout: callTimeout},
			})
		}
	}
	return c
}

func (c *crowd) start() {
	for _, caller := range c.callers {
		c.wait.Go(caller.run)
	}
}

// finish stops all callers after their current request and returns all records.
func (c *crowd) finish() []record {
	c.ending.Store(true)
	c.wait.Wait()
	all := []record{}
	for _, caller := range c.callers {
		all = append(all, caller.records...)
		caller.client.CloseIdleConnections()
	}
	return all
}

func (c *caller) run() {
	// A caller starts at a VM assigned to it and looks up another when that VM
	// closes the connection.
	_ = c.lookUp()
	for number := 0; !c.crowd.ending.Load(); number++ {
		c.send(number)
		_ = sleep(context.Background(), c.crowd.clock, c.pause())
	}
}

func (c *caller) pause() time.Duration {
	if c.organisation == orgGreedy && c.crowd.overload.Load() {
		return pauseOverload
	}
	if c.organisation == orgGreedy {
		// With this pause, all callers together send at most half the permitted rate.
		return callersOfEach * 2 * time.Second / greedyRate
	}
	return pauseSteady
}

func (c *caller) send(number int) {
	sent := c.requestOf(number)
	request, err := http.NewRequest(http.MethodGet, "http://"+c.vm+sent.uri, nil)
	if err != nil {
		return
	}
	if sent.once {
		request.Method = http.MethodPost
	}
	request.Header.Set("Authorization", "Bearer "+keyOf(c.organisation))
	sent.sent = c.crowd.clock.Now()
	c.crowd.sent.Add(1)
	response, err := c.client.Do(request)
	if err != nil {
		c.fail(sent, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.take(sent, request.Method, response)
	if response.Close {
		_ = c.move()
	}
}

func (c *caller) requestOf(number int) record {
	r := record{organisation: c.organisation, once: number%onceEveryNth == 0}
	path := pathLookup
	if r.once {
		path = pathLedger
	}
	r.uri = fmt.Sprintf("%s%s/%d", path, c.name, number)
	return r
}

// take records a response.
func (c *caller) take(sent record, method string, response *http.Response) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	sent.status = response.StatusCode
	sent.fate = response.Header.Get(fieldFate)
	sent.reason = response.Header.Get(fieldReason)
	sent.cut = err != nil
	sent.matches = strings.HasPrefix(string(body), method+" "+sent.uri+" ")
	switch sent.fate {
	case fateRan:
		c.crowd.ran.Add(1)
	case fateNotRun:
		c.crowd.refused.Add(1)
	default:
		c.crowd.failed.Add(1)
	}
	c.records = append(c.records, sent)
}

// fail records a request without a response and moves the caller to another VM. A
// request whose connection was refused does not count as cut.
func (c *caller) fail(sent record, err error) {
	fault, ok := errors.Into[*net.OpError](err)
	refused := ok && fault.Op == "dial"
	sent.cut = !refused
	if sent.cut {
		c.crowd.failed.Add(1)
	}
	c.records = append(c.records, sent)
	_ = c.move()
}

// move looks up the VMs at a random one and continues with one of the result.
func (c *caller) move() error {
	c.vm = c.crowd.fleet.vms[rand.IntN(len(c.crowd.fleet.vms))].callers
	answer, err := c.ask()
	if err != nil {
		return err
	}
	c.vm = answer.VMs[rand.IntN(len(answer.VMs))].Address
	return nil
}

type lookupAnswer struct {
	VMs []lookupVM `json:"vms"`
}

type lookupVM struct {
	Address string `json:"address"`
}

func (c *caller) lookUp() error {
	_, err := c.ask()
	return err
}

func (c *caller) ask() (lookupAnswer, error) {
	response, err := c.client.Get("http://" + c.vm + lookupPath)
	if err != nil {
		return lookupAnswer{}, errors.Errorf("look up: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer := lookupAnswer{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return lookupAnswer{}, errors.Errorf("decode look-up response: %w", err)
	}
	if len(answer.VMs) == 0 {
		return lookupAnswer{}, errors.New("look-up response contains no VM")
	}
	c.crowd.lookups.Add(1)
	return answer, nil
}
