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

const wholeAnswer = "a whole answer"

var errBroken = errors.New("broken")

// hastyClock is the system clock with timers that fire immediately.
type hastyClock struct {
	brclock.System
}

func (c hastyClock) NewTimer(time.Duration) brclock.Timer { return c.System.NewTimer(0) }

// world is a set of fake servers behind two dispatchers. It implements all
// dependencies of a dispatcher and counts the runs of each request.
type world struct {
	t        *rapid.T
	servers  []string
	runs     map[string]int
	events   []brevent.Event
	inFlight int
	watch    *brpoison.Watch[brpoison.Sparing]
	poison   string // target of requests that crash their server
	dead     map[string]bool
	receiver *brdispatch.Dispatcher
	verdict  brrequest.Verdict
}

func newWorld(t *rapid.T, servers int, repeat brconfig.Repeat) (*world, *brdispatch.Dispatcher) {
	w := &world{t: t, runs: map[string]int{}, dead: map[string]bool{}, watch: brpoison.NewWatch[brpoison.Sparing]()}
	for i := range servers {
		w.servers = append(w.servers, fmt.Sprint("server-", i))
	}
	route := brconfig.NewRoute(brconfig.NewMeta("entries"), "ledger", "/entries").WithRepeat(repeat)
	w.verdict = brrequest.Admit("taller-norte", route, 1)
	clock := hastyClock{}
	w.receiver = brdispatch.New("vm-2", clock, w, w, w, w, w, w, nil, w, w, w)
	return w, brdispatch.New("vm-1", clock, w, w, w, w, w, w, nil, w, w, w)
}

func (w *world) Admit(context.Context, brrequest.Request) (brrequest.Verdict, error) {
	return w.verdict, nil
}

// Guard treats every key as valid.
func (*world) Guard(ctx context.Context, _ brrequest.KeyHash) (context.Context, context.CancelFunc, error) {
	return ctx, func() {}, nil
}

func (w *world) Pick(_ context.Context, placement brrequest.Placement) (brconfig.Server, error) {
	if rapid.IntRange(0, 3).Draw(w.t, "busy") == 0 {
		return brconfig.Server{}, errBroken
	}
	for _, name := range w.servers {
		if !placement.Avoids(name) && !w.dead[name] {
			w.inFlight++
			return brconfig.NewServer(brconfig.NewMeta(name), "ledger", "este-a", name, 1), nil
		}
	}
	return brconfig.Server{}, errBroken
}

func (w *world) Release(brrequest.Outcome) { w.inFlight-- }

func (w *world) Earn(string) {}

func (w *world) Spend(context.Context, string) bool { return true }

func (w *world) Next(_ context.Context, _ string, tried []string) (brrequest.Target, bool) {
	return brrequest.NewTarget("este-b", "vm-2", ""), !slices.Contains(tried, "este-b")
}

func (w *world) Report(brrequest.Target, brrequest.OutcomeKind) {}

func (w *world) Begin(_ context.Context, f brrequest.Fingerprint) brpoison.Verdict {
	return w.watch.Begin(time.Time{}.Add(time.Second), f)
}

func (w *world) Ran(f brrequest.Fingerprint) { w.watch.Ran(time.Time{}.Add(time.Second), f) }

func (w *world) Ended(f brrequest.Fingerprint) { w.watch.Ended(f) }

func (w *world) Killed(f brrequest.Fingerprint, server string) {
	w.watch.Killed(time.Time{}.Add(time.Second), f, server)
}

func (w *world) IsDead(_ context.Context, address string) bool { return w.dead[address] }

func (w *world) Record(event brevent.Event) { w.events = append(w.events, event) }

// Send succeeds or fails at a random point.
func (w *world) Send(_ context.Context, server brconfig.Server, call brmessage.Call) (*brmessage.Answer, error) {
	id := call.Fields().First("X-Request-Id")
	if w.poison != "" && call.Target() == w.poison {
		w.runs[id]++
		w.dead[server.Name()] = true
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	}
	if call.Body() != nil && rapid.Bool().Draw(w.t, "reads body") {
		_, _ = io.CopyN(io.Discard, call.Body(), 4)
	}
	switch rapid.IntRange(0, 5).Draw(w.t, "break") {
	case 0:
		return nil, brbackend.NewErrNotSent(errBroken)
	case 1:
		return nil, brbackend.NewErrShed(0)
	case 2:
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	case 3:
		w.runs[id]++
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	case 4:
		w.runs[id]++
		return answerOf(io.MultiReader(strings.NewReader("a who"), brokenReader{})), nil
	default:
		w.runs[id]++
		return answerOf(strings.NewReader(wholeAnswer)), nil
	}
}

// Forward passes a request to the other dispatcher, or loses the request or its
// answer.
func (w *world) Forward(ctx context.Context, _ brrequest.Target, request brrequest.Request, verdict brrequest.Verdict, call brmessage.Call) (*brmessage.Answer, error) {
	lost := rapid.IntRange(0, 4).Draw(w.t, "lost")
	if lost == 0 {
		return nil, brbackend.NewErrNotSent(errBroken)
	}
	if lost == 1 {
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	}
	writer := &memoryWriter{}
	result := w.receiver.Receive(ctx, request, verdict, call, writer)
	switch {
	case lost == 2 || (!result.Started() && result.Fate() != brrequest.FateNotRun):
		return nil, brbackend.NewErrOutcomeUnknown(errBroken)
	case !result.Started():
		return nil, brdispatch.NewErrRefused(result.Reason(), result.RetryAfter())
	case !result.Whole():
		return answerOf(io.MultiReader(strings.NewReader(writer.body.String()), brokenReader{})), nil
	default:
		return answerOf(strings.NewReader(writer.body.String())), nil
	}
}

func answerOf(body io.Reader) *brmessage.Answer {
	return brmessage.NewAnswer(200, brmessage.NewFields(nil), io.NopCloser(body), nil)
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
