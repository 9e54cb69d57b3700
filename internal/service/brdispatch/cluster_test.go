package brdispatch_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/decide/brpoison"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
)

const completeBody = "a complete response"

var errBroken = errors.New("broken")

// instantClock is the system clock with timers that fire immediately.
type instantClock struct {
	brclock.System
}

func (c instantClock) NewTimer(time.Duration) brclock.Timer { return c.System.NewTimer(0) }

// cluster is a set of fake servers behind two dispatchers. It implements all
// dependencies of a dispatcher and counts the runs of each request.
type cluster struct {
	t        *rapid.T
	servers  []string
	runs     map[string]int
	events   []brevent.Event
	inFlight int
	detector *brpoison.Detector[brpoison.SerialPolicy]
	poison   string // target of requests that crash their server
	dead     map[string]bool
	receiver *brdispatch.Dispatcher
	decision brrequest.Decision
}

func newCluster(t *rapid.T, servers int, repeat brconfig.Repeat) (*cluster, *brdispatch.Dispatcher) {
	c := &cluster{t: t, runs: map[string]int{}, dead: map[string]bool{}, detector: brpoison.NewDetector[brpoison.SerialPolicy]()}
	for i := range servers {
		c.servers = append(c.servers, fmt.Sprint("server-", i))
	}
	route := brconfig.NewRoute(brconfig.NewMeta("entries"), "ledger", "/entries").WithRepeat(repeat)
	c.decision = brrequest.Admit("taller-norte", route, 1)
	clock := instantClock{}
	c.receiver = brdispatch.New("vm-2", clock, c, c, c, c, c, c, nil, c, c, c)
	return c, brdispatch.New("vm-1", clock, c, c, c, c, c, c, nil, c, c, c)
}

func (c *cluster) Admit(context.Context, brrequest.Request) (brrequest.Decision, error) {
	return c.decision, nil
}

// Guard treats every key as valid.
func (*cluster) Guard(ctx context.Context, _ brrequest.KeyHash) (context.Context, context.CancelFunc, error) {
	return ctx, func() {}, nil
}

func (c *cluster) Pick(_ context.Context, placement brrequest.Placement) (brconfig.Server, error) {
	if rapid.IntRange(0, 3).Draw(c.t, "busy") == 0 {
		return brconfig.Server{}, errBroken
	}
	for _, name := range c.servers {
		if !placement.Excludes(name) && !c.dead[name] {
			c.inFlight++
			return brconfig.NewServer(brconfig.NewMeta(name), "ledger", "este-a", name, 1), nil
		}
	}
	return brconfig.Server{}, errBroken
}

func (c *cluster) Release(brrequest.Outcome) { c.inFlight-- }

func (c *cluster) Earn(string) {}

func (c *cluster) Spend(context.Context, string) bool { return true }

func (c *cluster) Next(_ context.Context, _ string, tried []string) (brrequest.Target, bool) {
	return brrequest.NewTarget("este-b", "vm-2", ""), !slices.Contains(tried, "este-b")
}

func (c *cluster) Report(brrequest.Target, brrequest.OutcomeKind) {}

func (c *cluster) Begin(_ context.Context, fingerprint brrequest.Fingerprint) brpoison.Verdict {
	return c.detector.Begin(time.Time{}.Add(time.Second), fingerprint)
}

func (c *cluster) ReportCompletion(fingerprint brrequest.Fingerprint) {
	c.detector.RecordCompletion(time.Time{}.Add(time.Second), fingerprint)
}

func (c *cluster) ReportInconclusive(fingerprint brrequest.Fingerprint) {
	c.detector.EndTrial(fingerprint)
}

func (c *cluster) ReportCrash(fingerprint brrequest.Fingerprint, server string) {
	c.detector.RecordCrash(time.Time{}.Add(time.Second), fingerprint, server)
}

func (c *cluster) IsDead(_ context.Context, address string) bool { return c.dead[address] }

func (c *cluster) Record(event brevent.Event) { c.events = append(c.events, event) }

// Send succeeds or fails at a random point.
func (c *cluster) Send(_ context.Context, server brconfig.Server, call brmessage.Call) (*brmessage.Response, error) {
	id := call.Fields().First("X-Request-Id")
	if c.poison != "" && call.Target() == c.poison {
		c.runs[id]++
		c.dead[server.Name()] = true
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	}
	if call.Body() != nil && rapid.Bool().Draw(c.t, "reads body") {
		_, _ = io.CopyN(io.Discard, call.Body(), 4)
	}
	switch rapid.IntRange(0, 5).Draw(c.t, "break") {
	case 0:
		return nil, brbackend.NewErrNotSent(errBroken)
	case 1:
		return nil, brbackend.NewErrShed(0)
	case 2:
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	case 3:
		c.runs[id]++
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	case 4:
		c.runs[id]++
		return newResponse(io.MultiReader(strings.NewReader("a comp"), brokenReader{})), nil
	default:
		c.runs[id]++
		return newResponse(strings.NewReader(completeBody)), nil
	}
}

// Forward passes a request to the other dispatcher, or loses the request or its
// response.
func (c *cluster) Forward(ctx context.Context, _ brrequest.Target, request brrequest.Request, decision brrequest.Decision, call brmessage.Call) (*brmessage.Response, error) {
	lost := rapid.IntRange(0, 4).Draw(c.t, "lost")
	if lost == 0 {
		return nil, brbackend.NewErrNotSent(errBroken)
	}
	if lost == 1 {
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	}
	writer := &memoryWriter{}
	result := c.receiver.Receive(ctx, request, decision, call, writer)
	switch {
	case lost == 2 || (!result.Started() && result.Fate() != brrequest.FateNotRun):
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	case !result.Started():
		return nil, brdispatch.NewErrRefused(result.Reason(), result.RetryAfter())
	case !result.IsComplete():
		return newResponse(io.MultiReader(strings.NewReader(writer.body.String()), brokenReader{})), nil
	default:
		return newResponse(strings.NewReader(writer.body.String())), nil
	}
}

func newResponse(body io.Reader) *brmessage.Response {
	return brmessage.NewResponse(200, brmessage.NewFields(nil), io.NopCloser(body), nil)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type memoryWriter struct {
	body  strings.Builder
	heads int
}

func (m *memoryWriter) WriteHead(int, brmessage.Fields) error {
	m.heads++
	return nil
}

func (m *memoryWriter) Write(part []byte) (int, error) { return m.body.Write(part) }

func (*memoryWriter) WriteTrailers(brmessage.Fields) error { return nil }
