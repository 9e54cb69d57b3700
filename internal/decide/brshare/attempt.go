package brshare

import "bergamotroad.example/bergamotroad/internal/model/brloan"

// Loan is what a lender gives.
type Loan = brloan.Loan

// Attempt is one message that asks for a loan, for the first time or to renew it.
type Attempt struct {
	id     LoanID
	number uint64
}

// ID returns the name of the loan.
func (a Attempt) ID() LoanID { return a.id }
