package brshare

import "bergamotroad.example/bergamotroad/internal/model/brloan"

// Loan is a lender's response: parts and tokens under a lease.
type Loan = brloan.Loan

// Attempt identifies one request message for a loan or for its renewal.
type Attempt struct {
	id     LoanID
	number uint64
}

// ID returns the ID of the loan.
func (a Attempt) ID() LoanID { return a.id }
