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

// Membership handles pings.
type Membership interface {
	// HandlePing processes a ping and returns the reply.
	HandlePing(ctx context.Context, ping brmember.Ping) (brmember.Ping, error)
}

type memberServer struct {
	membership Membership
}

// Ping handles a ping.
func (s *memberServer) Ping(ctx context.Context, message *brentrypb.PingMessage) (*brentrypb.PingMessage, error) {
	reply, err := s.membership.HandlePing(ctx, decodePing(message))
	if err != nil {
		return nil, errors.Errorf("process ping: %w", err)
	}
	return encodePing(reply), nil
}

// WithMembership wraps a handler so that it also handles pings.
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

// PingAll sends pings concurrently and returns the result of each.
func (p *Pinger) PingAll(ctx context.Context, requests []brpinger.Request, timeout time.Duration) []brpinger.Result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make([]brpinger.Result, len(requests))
	var group sync.WaitGroup
	for i, request := range requests {
		group.Go(func() {
			reply, err := p.ping(ctx, request)
			results[i] = brpinger.NewResult(request.Name(), reply, err)
		})
	}
	group.Wait()
	return results
}

func (p *Pinger) ping(ctx context.Context, request brpinger.Request) (brmember.Ping, error) {
	client := brentrypb.NewMembershipProtobufClient("http://"+request.Address(), p.client)
	reply, err := client.Ping(ctx, encodePing(request.Ping()))
	if err != nil {
		return brmember.Ping{}, errors.Errorf("ping %s: %w", request.Name(), err)
	}
	return decodePing(reply), nil
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

// decodePing ignores changes to states that this version does not know.
func decodePing(message *brentrypb.PingMessage) brmember.Ping {
	changes := make([]brmember.Change, 0, len(message.GetChanges()))
	for _, c := range message.GetChanges() {
		if c.GetState() <= uint32(brmember.StateLeft) {
			changes = append(changes, brmember.NewChange(c.GetName(), c.GetIncarnation(), brmember.State(c.GetState()), c.GetObservers()...))
		}
	}
	return brmember.NewPing(message.GetName(), message.GetIncarnation(), message.GetGeneration(), message.GetLeaving(), changes)
}
