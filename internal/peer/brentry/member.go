package brentry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/duty/brpinger"
	"bergamotroad.example/bergamotroad/internal/model/brmember"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// Membership answers pings.
type Membership interface {
	// Hear processes a ping and returns the reply.
	Hear(ctx context.Context, ping brmember.Ping) (brmember.Ping, error)
}

type memberServer struct {
	membership Membership
}

// Ping answers a ping.
func (s *memberServer) Ping(ctx context.Context, m *brentrypb.PingMessage) (*brentrypb.PingMessage, error) {
	answer, err := s.membership.Hear(ctx, decodePing(m))
	if err != nil {
		return nil, errors.Errorf("process ping: %w", err)
	}
	return encodePing(answer), nil
}

// WithMembership wraps a handler so that it also answers pings.
func WithMembership(next http.Handler, membership Membership) http.Handler {
	mux := http.NewServeMux()
	server := brentrypb.NewMembershipServer(&memberServer{membership: membership})
	mux.Handle(server.PathPrefix(), server)
	mux.Handle("/", next)
	return mux
}

// Pinger pings other VMs.
type Pinger struct {
	client *http.Client
}

// NewPinger returns a pinger over an HTTP client.
func NewPinger(client *http.Client) *Pinger {
	return &Pinger{client: client}
}

// PingAll sends pings concurrently and returns the outcome of each.
func (p *Pinger) PingAll(ctx context.Context, calls []brpinger.Request, timeout time.Duration) []brpinger.Result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcomes := make([]brpinger.Result, len(calls))
	var wait sync.WaitGroup
	for i, call := range calls {
		wait.Go(func() {
			answer, err := p.ping(ctx, call)
			outcomes[i] = brpinger.NewResult(call.Name(), answer, err)
		})
	}
	wait.Wait()
	return outcomes
}

func (p *Pinger) ping(ctx context.Context, call brpinger.Request) (brmember.Ping, error) {
	client := brentrypb.NewMembershipProtobufClient("http://"+call.Address(), p.client)
	answer, err := client.Ping(ctx, encodePing(call.Ping()))
	if err != nil {
		return brmember.Ping{}, errors.Errorf("ping %s: %w", call.Name(), err)
	}
	return decodePing(answer), nil
}

func encodePing(ping brmember.Ping) *brentrypb.PingMessage {
	message := &brentrypb.PingMessage{
		Name:        ping.Name(),
		Incarnation: ping.Incarnation(),
		Generation:  ping.Generation(),
		Leaving:     ping.Leaving(),
	}
	for _, c := range ping.Changes() {
		message.Changes = append(message.Changes, &brentrypb.MemberChange{
			Name:        c.Name(),
			Incarnation: c.Incarnation(),
			State:       uint32(c.State()),
			Observers:   c.Observers(),
		})
	}
	return message
}

// decodePing leaves out changes to states that this version does not know.
func decodePing(m *brentrypb.PingMessage) brmember.Ping {
	changes := make([]brmember.Change, 0, len(m.GetChanges()))
	for _, c := range m.GetChanges() {
		if c.GetState() <= uint32(brmember.StateLeft) {
			changes = append(changes, brmember.NewChange(c.GetName(), c.GetIncarnation(), brmember.State(c.GetState()), c.GetObservers()...))
		}
	}
	return brmember.NewPing(m.GetName(), m.GetIncarnation(), m.GetGeneration(), m.GetLeaving(), changes)
}
