package brclaimstore

import (
	"context"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brring"
)

// Drain waits until all pending records and releases are written to the table.
func (s *Store) Drain(ctx context.Context) error {
	_, err := brring.Ask(ctx, s.duty.Queue(), s.results, func(reply brring.Reply[ClaimResult]) message {
		return message{isDrain: true, reply: reply}
	})
	if err != nil {
		return errors.Errorf("drain claims: %w", err)
	}
	return nil
}

// answerDrains answers pending Drain calls once no records or releases are pending.
func (h *handler) answerDrains() {
	if len(h.records) > 0 || len(h.releases) > 0 {
		return
	}
	for _, reply := range h.drains {
		reply.Answer(ClaimResult{})
	}
	h.drains = nil
}
