// Package brloan provides the messages with which VMs borrow parts of rate limits
// from each other.
//
// # Usage
//
//	request := brloan.NewRequest(brloan.NewID(incarnation, 1), "taller-norte", 3*time.Second)
//	loan := brloan.NewLoan(parts, tokens, tokenUnit, request.Lease())
package brloan

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brallocation"
)

// Parts counts parts of a limit.
type Parts = brallocation.Parts

// ID identifies a loan by the borrower's incarnation and the borrower's number for it.
type ID struct {
	borrower string
	number   uint64
}

// NewID returns the identifier of a borrower's loan.
func NewID(borrower string, number uint64) ID {
	return ID{borrower: borrower, number: number}
}

// Borrower returns the borrower's incarnation.
func (i ID) Borrower() string { return i.borrower }

// Number returns the loan's number, which is unique for the borrower.
func (i ID) Number() uint64 { return i.number }

// Request is a request for a loan of an organisation's limit, or for its renewal.
type Request struct {
	id           ID
	organisation string
	lease        time.Duration
}

// NewRequest returns a request.
func NewRequest(id ID, organisation string, lease time.Duration) Request {
	return Request{id: id, organisation: organisation, lease: lease}
}

// ID returns the identifier of the loan.
func (r Request) ID() ID { return r.id }

// Organisation returns the name of the organisation.
func (r Request) Organisation() string { return r.organisation }

// Lease returns the requested duration of the loan.
func (r Request) Lease() time.Duration { return r.lease }

// Loan is the lender's response: parts of a limit, and the tokens that have
// accrued on them, for the duration of a lease.
type Loan struct {
	parts     Parts
	tokens    int64
	tokenUnit string
	lease     time.Duration
}

// NewLoan returns a loan.
func NewLoan(parts Parts, tokens int64, tokenUnit string, lease time.Duration) Loan {
	return Loan{parts: parts, tokens: tokens, tokenUnit: tokenUnit, lease: lease}
}

// Parts returns the lent parts, or 0 if the request was refused.
func (l Loan) Parts() Parts { return l.parts }

// Tokens returns the number of tokens, in scaled units, that come with the parts.
func (l Loan) Tokens() int64 { return l.tokens }

// TokenUnit identifies the unit and the scale of the tokens.
func (l Loan) TokenUnit() string { return l.tokenUnit }

// Lease returns the duration of the loan. The borrower counts it from before it
// sent the request, so that the loan never outlasts the lender's own record of it.
func (l Loan) Lease() time.Duration { return l.lease }
