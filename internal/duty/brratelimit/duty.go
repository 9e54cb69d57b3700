// Package brratelimit provides the duty that limits the rate at which each team changes the
// configuration through a VM, so that one team's script doesn't starve the others.
//
// # Usage
//
//	limiter := brratelimit.New(clock)
//	distributor.Subscribe(limiter.Snapshots())
//	group.Start(limiter.Duty())
//	wait, err := limiter.Take(ctx, "azul")
package brratelimit

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/core/brduty"
	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brrate"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
)

const (
	queueCapacity           = 1024 // messages
	period                  = time.Minute
	platformWritesPerMinute = 600
)

type message struct {
	team  string
	reply brring.Reply[time.Duration]
}

// Limiter is the duty and its client methods, which may be called concurrently.
type Limiter struct {
	duty  *brduty.Duty[message, *brconfig.Snapshot]
	waits *brring.ReplyPool[time.Duration]
}

// New returns the duty.
func New(clock brclock.Clock) *Limiter {
	h := &handler{clock: clock, teams: brconfig.NewSnapshot().Teams(), limiters: map[string]*brrate.Limiter{}}
	return &Limiter{
		duty:  brduty.New[message, *brconfig.Snapshot]("writing", h, clock, brduty.WithCapacity(queueCapacity), brduty.WithoutTicks()),
		waits: brring.NewReplyPool[time.Duration](),
	}
}

// Duty returns the duty for a group to start.
func (l *Limiter) Duty() brduty.Runner { return l.duty }

// Snapshots returns the ring that receives the configuration.
func (l *Limiter) Snapshots() *brring.Latest[*brconfig.Snapshot] { return l.duty.Snapshots() }

// Take counts one change by a team and returns 0. If the team is at its limit, it counts
// nothing and returns how long the team has to wait before its next change. The empty team
// name stands for the platform.
func (l *Limiter) Take(ctx context.Context, team string) (time.Duration, error) {
	wait, err := brring.Ask(ctx, l.duty.Queue(), l.waits, func(reply brring.Reply[time.Duration]) message {
		return message{team: team, reply: reply}
	})
	if err != nil {
		return 0, errors.Errorf("query rate limit of team %q: %w", team, err)
	}
	return wait, nil
}

type handler struct {
	clock    brclock.Clock
	teams    brconfig.Table[brconfig.Team]
	limiters map[string]*brrate.Limiter
}

// Handle counts one change against the limit of its team, unless its caller has left: the
// change is not made then.
func (h *handler) Handle(_ context.Context, m message) {
	if m.reply.IsAbandoned() {
		return
	}
	limiter, ok := h.limiters[m.team]
	if !ok {
		limiter = brrate.New(h.limit(m.team), period)
		h.limiters[m.team] = limiter
	}
	m.reply.Answer(limiter.Take(h.clock.Now()))
}

// Update applies the limits of a new configuration and drops teams that were deleted.
func (h *handler) Update(_ context.Context, snapshot *brconfig.Snapshot) {
	h.teams = snapshot.Teams()
	for team, limiter := range h.limiters {
		if _, ok := h.teams.Get(team).Get(); !ok && team != "" {
			delete(h.limiters, team)
			continue
		}
		h.limiters[team] = limiter.WithCount(h.limit(team))
	}
}

// Tick does nothing: the duty runs without ticks.
func (*handler) Tick(context.Context, time.Time) {}

func (h *handler) limit(team string) int {
	if t, ok := h.teams.Get(team).Get(); ok {
		return t.WritesPerMinute()
	}
	if team == "" {
		return platformWritesPerMinute
	}
	return brconfig.DefaultTeamWritesPerMinute
}
