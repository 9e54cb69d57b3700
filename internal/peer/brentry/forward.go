package brentry

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/peer/brduplex"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
)

// forwardPrefix precedes the target of a forwarded request. Forwarding is plain
// HTTP, since twirp does not stream bodies.
const forwardPrefix = "/forward"

// Header fields between entry VMs.
const (
	reservedPrefix    = brmessage.ReservedPrefix
	fieldFate         = reservedPrefix + "Fate"
	fieldReason       = reservedPrefix + "Reason"
	fieldTimeout      = reservedPrefix + "Timeout"
	fieldRequest      = reservedPrefix + "Request"
	fieldOrganisation = reservedPrefix + "Organisation"
	fieldWeight       = reservedPrefix + "Weight"
	fieldRoute        = reservedPrefix + "Route"
	fieldService      = reservedPrefix + "Service"
	fieldRepeat       = reservedPrefix + "Repeat"
	fieldRouteTimeout = reservedPrefix + "Route-Timeout"
	fieldGeneration   = reservedPrefix + "Generation"
	fieldDomain       = reservedPrefix + "Domain"
)

// Forwarder forwards requests to other entry VMs.
type Forwarder struct {
	client  *brbackend.Client
	domain  string
	limiter BandwidthLimiter
}

// NewForwarder returns a forwarder for a VM in the given failure domain.
func NewForwarder(client *brbackend.Client, domain string, limiter BandwidthLimiter) *Forwarder {
	return &Forwarder{client: client, domain: domain, limiter: limiter}
}

// Forward sends a request once. It returns brdispatch.ErrRefused if the other VM
// reports that the request was not run, brbackend.ErrNotSent if no byte can have
// reached that VM, and brbackend.ErrOutcomeUnknown for any other failure.
func (f *Forwarder) Forward(ctx context.Context, target brrequest.Target, request brrequest.Request, decision brrequest.Decision, call brmessage.Call) (*brmessage.Response, error) {
	call.Fields().Set(fieldDomain, f.domain)
	call = withPacing(call, stream{context: ctx, limiter: f.limiter, domain: target.Domain(), name: request.ID()})
	response, err := f.client.Exchange(ctx, target.Address(), forwardedCall(request, decision, call))
	if err != nil {
		return nil, errors.Errorf("forward to %s: %w", target.VM(), err)
	}
	switch brrequest.Fate(response.Header.Get(fieldFate)) {
	case brrequest.FateRan:
		return brbackend.NewResponse(response), nil
	case brrequest.FateNotRun:
		_ = response.Body.Close()
		return nil, brdispatch.NewErrRefused(brrequest.Reason(response.Header.Get(fieldReason)), parseRetryAfter(response.Header.Get("Retry-After")))
	default:
		_ = response.Body.Close()
		return nil, brbackend.NewErrOutcomeUnknown(errors.Errorf("%s responded with status %d but without a fate", target.VM(), response.StatusCode))
	}
}

func forwardedCall(request brrequest.Request, decision brrequest.Decision, call brmessage.Call) brmessage.Call {
	fields := call.Fields()
	route := decision.Route()
	fields.Set(fieldRequest, request.ID())
	fields.Set(fieldOrganisation, decision.Organisation())
	fields.Set(fieldWeight, strconv.Itoa(decision.Weight()))
	fields.Set(fieldRoute, route.Name())
	fields.Set(fieldService, route.Service())
	fields.Set(fieldRepeat, string(route.Repeat()))
	fields.Set(fieldRouteTimeout, route.Timeout().String())
	fields.Set(fieldGeneration, strconv.FormatUint(decision.Generation(), 10))
	return brmessage.NewCall(call.Method(), forwardPrefix+call.Target(), fields, call.Body(), call.Size())
}

// Receiver handles requests that other VMs have admitted.
type Receiver interface {
	// Receive sends a request to a server in this failure domain.
	Receive(ctx context.Context, request brrequest.Request, decision brrequest.Decision, call brmessage.Call, writer brdispatch.Writer) brdispatch.Result
}

type forwardServer struct {
	clock    brclock.Clock
	receiver Receiver
	limiter  BandwidthLimiter
}

// WithForwarding wraps a handler so that it also accepts forwarded requests.
func WithForwarding(next http.Handler, clock brclock.Clock, receiver Receiver, limiter BandwidthLimiter) http.Handler {
	s := &forwardServer{clock: clock, receiver: receiver, limiter: limiter}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, forwardPrefix+"/") {
			s.serve(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *forwardServer) serve(w http.ResponseWriter, r *http.Request) {
	body := brduplex.NewBody(r)
	defer body.Finish(w)
	request, decision, err := s.decode(r)
	if err != nil {
		body.PrepareResponse(w)
		w.Header().Set(fieldFate, string(brrequest.FateNotRun))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writer := &pacedWriter{
		Writer: &forwardWriter{response: w, body: body},
		stream: stream{context: r.Context(), limiter: s.limiter, domain: r.Header.Get(fieldDomain), name: request.ID()},
	}
	result := s.receiver.Receive(r.Context(), request, decision, backendCall(r, body), writer)
	if !result.Started() {
		body.PrepareResponse(w)
		writeRefusal(w, result)
		return
	}
	if !result.IsComplete() {
		// Aborting the connection tells the other VM that the response is truncated.
		panic(http.ErrAbortHandler)
	}
}

func (s *forwardServer) decode(r *http.Request) (brrequest.Request, brrequest.Decision, error) {
	weight, err := strconv.Atoi(r.Header.Get(fieldWeight))
	if err != nil {
		return brrequest.Request{}, brrequest.Decision{}, errors.Errorf("read weight: %w", err)
	}
	timeout, err := time.ParseDuration(r.Header.Get(fieldRouteTimeout))
	if err != nil {
		return brrequest.Request{}, brrequest.Decision{}, errors.Errorf("read timeout of route: %w", err)
	}
	milliseconds, err := strconv.ParseUint(r.Header.Get(fieldTimeout), 10, 31)
	if err != nil {
		return brrequest.Request{}, brrequest.Decision{}, errors.Errorf("read timeout of request: %w", err)
	}
	generation, err := strconv.ParseUint(r.Header.Get(fieldGeneration), 10, 64)
	if err != nil {
		return brrequest.Request{}, brrequest.Decision{}, errors.Errorf("read generation: %w", err)
	}
	request := brrequest.New(r.Header.Get(fieldRequest), r.Method, strings.TrimPrefix(r.URL.Path, forwardPrefix), netip.Addr{}).
		WithSize(r.ContentLength).
		WithDeadline(s.clock.Now().Add(time.Duration(milliseconds) * time.Millisecond))
	route := brconfig.NewRoute(brconfig.NewMeta(r.Header.Get(fieldRoute)), r.Header.Get(fieldService), "").
		WithRepeat(brconfig.Repeat(r.Header.Get(fieldRepeat))).
		WithTimeout(timeout)
	return request, brrequest.Admit(r.Header.Get(fieldOrganisation), route, generation).WithWeight(weight), nil
}

// backendCall returns the request that is sent to a server, without the header fields
// that only entry VMs use among each other.
func backendCall(r *http.Request, body io.Reader) brmessage.Call {
	fields := r.Header.Clone()
	for name := range fields {
		if strings.HasPrefix(name, reservedPrefix) {
			fields.Del(name)
		}
	}
	fields.Set("Host", r.Host)
	target := strings.TrimPrefix(r.URL.RequestURI(), forwardPrefix)
	return brmessage.NewCall(r.Method, target, brmessage.NewFields(fields), body, r.ContentLength)
}

func writeRefusal(w http.ResponseWriter, result brdispatch.Result) {
	w.Header().Set(fieldFate, string(result.Fate()))
	w.Header().Set(fieldReason, string(result.Reason()))
	if result.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((result.RetryAfter() + time.Second - 1).Seconds())))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
