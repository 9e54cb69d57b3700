// Package brloan provides the messages by which VMs lend each other parts of
// limits.
//
// # Usage
//
//	request := brloan.NewRequest(brloan.NewID(incarnation, 1), "taller-norte", 3*time.Second)
//	loan := brloan.NewLoan(parts, tokens, denomination, request.Lease())
package brloan

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brdivision"
)

// Parts counts parts of a limit.
type Parts = brdivision.Parts

// ID names a loan: the borrower's incarnation and its number there.
type ID struct {
	borrower string
	number   uint64
}

// NewID returns the name of a borrower's loan.
func NewID(borrower string, number uint64) ID {
	return ID{borrower: borrower, number: number}
}

// Borrower returns the borrower's incarnation.
func (i ID) Borrower() string { return i.borrower }

// Number returns the loan's number among those of the borrower.
func (i ID) Number() uint64 { return i.number }

// Request asks for a loan of an organisation's limit, or for its renewal.
type Request struct {
	id           ID
	organisation string
	lease        time.Duration
}

// NewRequest returns a request.
func NewRequest(id ID, organisation string, lease time.Duration) Request {
	return Request{id: id, organisation: organisation, lease: lease}
}

// ID returns the name of the loan.
func (r Request) ID() ID { return r.id }

// Organisation returns the name of the organisation.
func (r Request) Organisation() string { return r.organisation }

// Lease returns how long the loan is to be used.
func (r Request) Lease() time.Duration { return r.lease }

// Loan is what a lender gives: parts of a limit, with tokens that have accrued
// on them, for as long as a lease.
type Loan struct {
	parts        Parts
	tokens       int64
	denomination string
	lease        time.Duration
}

// NewLoan returns a loan.
func NewLoan(parts Parts, tokens int64, denomination string, lease time.Duration) Loan {
	return Loan{parts: parts, tokens: tokens, denomination: denomination, lease: lease}
}

// Parts returns the parts that are lent, or 0 for a refusal.
func (l Loan) Parts() Parts { return l.parts }

// Tokens returns the scaled units that come with the parts.
func (l Loan) Tokens() int64 { return l.tokens }

// Denomination names what a token is worth.
func (l Loan) Denomination() string { return l.denomination }

// Lease returns how long the loan may be used, counted from before it was asked for.
func (l Loan) Lease() time.Duration { return l.lease }
