package bradmission

import (
	"context"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brring"
	"bergamotroad.example/bergamotroad/internal/decide/brshare"
	"bergamotroad.example/bergamotroad/internal/model/brloan"
)

// operation reads or changes the rate limits. It runs on the duty's goroutine.
type operation func(h *handler)

// SetLoanFinder sets the component that requests loans from other VMs. It must be called
// before the duty starts.
func (a *Admission) SetLoanFinder(finder LoanFinder) { a.handler.limits.loanFinder = finder }

// Grant applies the capacity that this VM holds through slots of the platform's table.
func (a *Admission) Grant(grants []brshare.Grant) error {
	err := a.duty.Queue().Send(message{operation: func(h *handler) { h.limits.grant(grants) }})
	if err != nil {
		return errors.Errorf("grant capacity: %w", err)
	}
	return nil
}

// RevokeGrants gives up all granted capacity and reports whether no loans from or to
// other VMs are outstanding.
func (a *Admission) RevokeGrants(ctx context.Context) (bool, error) {
	return ask(ctx, a, a.booleans, func(h *handler) bool { return h.limits.revokeGrants() })
}

// Lend grants or renews a loan of capacity to another VM. A loan without parts is a
// refusal.
func (a *Admission) Lend(ctx context.Context, request brloan.Request) (brloan.Loan, error) {
	return ask(ctx, a, a.loans, func(h *handler) brloan.Loan { return h.limits.lend(request) })
}

// StartAttempt records that a loan is about to be requested from another VM.
func (a *Admission) StartAttempt(ctx context.Context, organisation string, id brloan.ID) (brshare.Attempt, error) {
	return ask(ctx, a, a.attempts, func(h *handler) brshare.Attempt {
		account, ok := h.limits.accounts[organisation]
		if !ok {
			return brshare.Attempt{}
		}
		return account.BeginAttempt(id, h.clock.Now())
	})
}

// Borrow credits the loan granted in response to an attempt and reports whether more
// capacity is needed. A refusal ends the attempt.
func (a *Admission) Borrow(ctx context.Context, organisation string, attempt brshare.Attempt, loan brloan.Loan) (bool, error) {
	return ask(ctx, a, a.booleans, func(h *handler) bool {
		account, ok := h.limits.accounts[organisation]
		if !ok {
			return false
		}
		now := h.clock.Now()
		account.Borrow(attempt, loan, now)
		h.retryParked(organisation)
		return account.LowOnTokens(now)
	})
}

// FinishSearch reports that a search for loans has ended.
func (a *Admission) FinishSearch(organisation string) error {
	err := a.duty.Queue().SendReserved(message{operation: func(h *handler) {
		if account, ok := h.limits.accounts[organisation]; ok {
			account.searching = false
		}
		h.answerParked(organisation)
	}})
	if err != nil {
		return errors.Errorf("finish loan search: %w", err)
	}
	return nil
}

func ask[T any](ctx context.Context, a *Admission, pool *brring.ReplyPool[T], run func(h *handler) T) (T, error) {
	answer, err := brring.Ask(ctx, a.duty.Queue(), pool, func(reply brring.Reply[T]) message {
		return message{operation: func(h *handler) { reply.Answer(run(h)) }}
	})
	if err != nil {
		return answer, errors.Errorf("query admission: %w", err)
	}
	return answer, nil
}
