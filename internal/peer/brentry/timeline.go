package brentry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/duty/brtimeline"
	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brlabel"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// Timeline provides the events of this VM.
type Timeline interface {
	// Read returns up to limit events after a position.
	Read(ctx context.Context, after uint64, limit int) (brtimeline.Page, error)
}

type timelineServer struct {
	timeline Timeline
}

// Read returns the events after a position.
func (s *timelineServer) Read(ctx context.Context, request *brentrypb.ReadRequest) (*brentrypb.ReadReply, error) {
	page, err := s.timeline.Read(ctx, request.GetAfterPosition(), int(request.GetLimit()))
	if err != nil {
		return nil, errors.Errorf("read timeline: %w", err)
	}
	reply := &brentrypb.ReadReply{Position: page.Position()}
	for _, e := range page.Events() {
		reply.Events = append(reply.Events, encodeEvent(e))
	}
	return reply, nil
}

// ReadEvents returns up to limit events of the other VM after a position.
func (p *Peer) ReadEvents(ctx context.Context, after uint64, limit int) (brtimeline.Page, error) {
	reply, err := p.timeline.Read(ctx, &brentrypb.ReadRequest{AfterPosition: after, Limit: uint32(limit)})
	if err != nil {
		return brtimeline.Page{}, errors.Errorf("read timeline of %s: %w", p.address, err)
	}
	events := make([]brevent.Event, 0, len(reply.GetEvents()))
	for _, m := range reply.GetEvents() {
		events = append(events, decodeEvent(m))
	}
	return brtimeline.NewPage(events, reply.GetPosition()), nil
}

func encodeEvent(e brevent.Event) *brentrypb.EventMessage {
	message := &brentrypb.EventMessage{
		Kind:            string(e.Kind()),
		WallNanoseconds: e.Timestamp().Wall().UnixNano(),
		Logical:         e.Timestamp().Logical(),
		Vm:              e.VM(),
		Domain:          e.Domain(),
		Organisation:    e.Organisation(),
		Request:         e.Request(),
		Move:            e.Move(),
		Resource:        e.Resource(),
		Details:         map[string]string{},
	}
	for name, value := range e.Details().All() {
		message.Details[name] = value
	}
	return message
}

func decodeEvent(m *brentrypb.EventMessage) brevent.Event {
	timestamp := brclock.NewTimestamp(time.Unix(0, m.GetWallNanoseconds()), m.GetLogical())
	return brevent.New(brevent.Kind(m.GetKind())).
		WithOrigin(timestamp, m.GetVm(), m.GetDomain()).
		WithOrganisation(m.GetOrganisation()).
		WithRequest(m.GetRequest()).
		WithMove(m.GetMove()).
		WithResource(m.GetResource()).
		WithDetails(brlabel.New(m.GetDetails()))
}
