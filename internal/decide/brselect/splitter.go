package brselect

import (
	"fmt"
	"math/big"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// MaxDenominator bounds the common denominator of fractions, so that counters
// of 64 bits hold every product.
const MaxDenominator = 1_000_000_000

// ErrFraction says that fractions can't be counted exactly.
type ErrFraction struct {
	reason string
}

// Error returns the reason.
func (e ErrFraction) Error() string { return "fractions: " + e.reason }

// IsErrFraction reports whether err is or wraps ErrFraction.
func IsErrFraction(err error) bool {
	_, ok := errors.Into[ErrFraction](err)
	return ok
}

// Splitter divides a sequence of requests between targets. After each request,
// the count of every target differs from its fraction of all requests by less
// than one. It draws nothing at random. It has one owner.
type Splitter[T any] struct {
	targets     []T
	shares      []int64 // of the denominator
	taken       []int64 // in this round
	denominator int64
	position    int64 // requests in this round
}

// NewSplitter returns a splitter with a fraction for each target. The fractions
// must sum to 1 at most; requests beyond them go to no target.
func NewSplitter[T any](targets []T, fractions []brunit.Amount) (*Splitter[T], error) {
	if len(targets) != len(fractions) {
		return nil, ErrFraction{reason: fmt.Sprintf("%d for %d targets", len(fractions), len(targets))}
	}
	shares, denominator, err := scale(fractions)
	if err != nil {
		return nil, err
	}
	return &Splitter[T]{
		targets:     targets,
		shares:      shares,
		taken:       make([]int64, len(targets)),
		denominator: denominator,
	}, nil
}

// scale returns the fractions as whole numbers of a common denominator.
func scale(fractions []brunit.Amount) ([]int64, int64, error) {
	denominator := big.NewInt(1)
	sum := new(big.Rat)
	for _, f := range fractions {
		if f.Sign() < 0 {
			return nil, 0, ErrFraction{reason: f.String() + " is negative"}
		}
		value := f.Rat()
		sum.Add(sum, value)
		divisor := new(big.Int).GCD(nil, nil, denominator, value.Denom())
		denominator.Mul(denominator, new(big.Int).Quo(value.Denom(), divisor))
		if !denominator.IsInt64() || denominator.Int64() > MaxDenominator {
			return nil, 0, ErrFraction{reason: fmt.Sprintf("common denominator is above %d", MaxDenominator)}
		}
	}
	if sum.Cmp(big.NewRat(1, 1)) > 0 {
		return nil, 0, ErrFraction{reason: "sum " + sum.RatString() + " is above 1"}
	}
	shares := make([]int64, len(fractions))
	for i, f := range fractions {
		value := f.Rat()
		factor := new(big.Int).Quo(denominator, value.Denom())
		shares[i] = factor.Mul(factor, value.Num()).Int64()
	}
	return shares, denominator.Int64(), nil
}

// Next returns the target of the next request, or none.
//
// The j-th request of a target must come no earlier than its fraction reaches
// j-1 and no later than it reaches j. Of the targets that may come now, the one
// with the earliest deadline does; as the fractions sum to 1 at most, none misses its own.
func (s *Splitter[T]) Next() broption.Option[T] {
	chosen := s.choose()
	s.position++
	if chosen >= 0 {
		s.taken[chosen]++
	}
	if s.position == s.denominator {
		s.position = 0
		clear(s.taken)
	}
	if chosen < 0 {
		return broption.None[T]()
	}
	return broption.Some(s.targets[chosen])
}

// choose returns the index of the next target, or -1.
func (s *Splitter[T]) choose() int {
	chosen := -1
	var earliest int64
	for i, share := range s.shares {
		taken := s.taken[i]
		isReleased := share > 0 && taken*s.denominator < (s.position+1)*share
		if !isReleased {
			continue
		}
		deadline := ((taken+1)*s.denominator + share - 1) / share
		if chosen < 0 || deadline < earliest {
			chosen, earliest = i, deadline
		}
	}
	return chosen
}

// Cap lets through a fraction of a sequence of requests: after n requests, no
// more than floor(fraction x n). It has one owner.
type Cap struct {
	share       int64
	denominator int64
	position    int64
	taken       int64
}

// NewCap returns a cap at a fraction from 0 to 1.
func NewCap(fraction brunit.Amount) (*Cap, error) {
	shares, denominator, err := scale([]brunit.Amount{fraction})
	if err != nil {
		return nil, err
	}
	return &Cap{share: shares[0], denominator: denominator}, nil
}

// Allows reports whether the next request that is counted may pass.
func (c *Cap) Allows() bool {
	return (c.taken+1)*c.denominator <= (c.position+1)*c.share
}

// Admit counts one request and reports whether it may pass. A request that may
// pass but does not is not made up for.
func (c *Cap) Admit() bool {
	passes := c.Allows()
	c.position++
	if passes {
		c.taken++
	}
	if c.position == c.denominator {
		c.position, c.taken = 0, 0
	}
	return passes
}
