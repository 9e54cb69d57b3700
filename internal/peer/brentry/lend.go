package brentry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brloan"
	"bergamotroad.example/bergamotroad/internal/peer/brentrypb"
)

// maxLoanLease bounds the lease that another VM may request.
const maxLoanLease = 10 * time.Second

// Lender lends parts of limits that this VM holds to other VMs.
type Lender interface {
	// Lend grants or renews a loan; a loan without parts is a refusal.
	Lend(ctx context.Context, request brloan.Request) (brloan.Loan, error)
}

// WithLending wraps a handler so that it also serves requests for loans.
func WithLending(next http.Handler, lender Lender) http.Handler {
	mux := http.NewServeMux()
	server := brentrypb.NewLendingServer(&lendServer{lender: lender})
	mux.Handle(server.PathPrefix(), server)
	mux.Handle("/", next)
	return mux
}

type lendServer struct {
	lender Lender
}

// Lend grants or renews a loan.
func (s *lendServer) Lend(ctx context.Context, request *brentrypb.LendRequest) (*brentrypb.LendReply, error) {
	lease := min(time.Duration(request.GetLeaseMilliseconds())*time.Millisecond, maxLoanLease)
	id := brloan.NewID(request.GetBorrower(), request.GetNumber())
	loan, err := s.lender.Lend(ctx, brloan.NewRequest(id, request.GetOrganisation(), lease))
	if err != nil {
		return nil, errors.Errorf("grant loan: %w", err)
	}
	return &brentrypb.LendReply{
		Parts:             int64(loan.Parts()),
		Tokens:            loan.Tokens(),
		Denomination:      loan.TokenUnit(),
		LeaseMilliseconds: uint32(loan.Lease().Milliseconds()),
	}, nil
}

// Lend requests a loan from the other VM, or the renewal of one.
func (p *Peer) Lend(ctx context.Context, request brloan.Request) (brloan.Loan, error) {
	reply, err := p.lending.Lend(ctx, &brentrypb.LendRequest{
		Borrower:          request.ID().Borrower(),
		Number:            request.ID().Number(),
		Organisation:      request.Organisation(),
		LeaseMilliseconds: uint32(request.Lease().Milliseconds()),
	})
	if err != nil {
		return brloan.Loan{}, errors.Errorf("request loan from %s: %w", p.address, err)
	}
	lease := time.Duration(reply.GetLeaseMilliseconds()) * time.Millisecond
	return brloan.NewLoan(brloan.Parts(reply.GetParts()), reply.GetTokens(), reply.GetDenomination(), lease), nil
}
