package brselector

import (
	"fmt"
	"math/big"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// MaxDenominator is the maximum common denominator of fractions. With it no product
// overflows a 64-bit counter.
const MaxDenominator = 1_000_000_000

// ErrFraction is returned for invalid fractions and for those that can't be
// represented exactly.
type ErrFraction struct {
	reason string
}

// Error returns a message with the reason.
func (e ErrFraction) Error() string { return "fractions: " + e.reason }

// IsErrFraction reports whether err is or wraps ErrFraction.
func IsErrFraction(err error) bool {
	_, ok := errors.Into[ErrFraction](err)
	return ok
}

// Splitter splits a sequence of requests between targets. After each request, the
// count of every target differs from its fraction of all requests by less than one.
// It is deterministic and not safe for concurrent use.
type Splitter[T any] struct {
	targets     []T
	shares      []int64 // of the denominator
	taken       []int64 // in this round
	denominator int64
	position    int64 // requests in this round
}

// NewSplitter returns a splitter with a fraction for each target. The sum of the
// fractions must be at most 1; the remaining requests go to no target.
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

// scale returns the numerators of the fractions over their least common denominator,
// and that denominator.
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
// The j-th request of a target is due no earlier than when its fraction of all
// requests reaches j-1 and no later than when it reaches j. Of the targets that are
// eligible now, the one with the earliest deadline is chosen. Since the sum of the
// fractions is at most 1, no target misses its deadline.
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
		eligible := share > 0 && taken*s.denominator < (s.position+1)*share
		if !eligible {
			continue
		}
		deadline := ((taken+1)*s.denominator + share - 1) / share
		if chosen < 0 || deadline < earliest {
			chosen, earliest = i, deadline
		}
	}
	return chosen
}

// Cap admits a fraction of a sequence of requests: after n requests, at most
// floor(fraction x n) have been admitted. It is not safe for concurrent use.
type Cap struct {
	share       int64
	denominator int64
	position    int64
	taken       int64
}

// NewCap returns a cap with a fraction from 0 to 1.
func NewCap(fraction brunit.Amount) (*Cap, error) {
	shares, denominator, err := scale([]brunit.Amount{fraction})
	if err != nil {
		return nil, err
	}
	return &Cap{share: shares[0], denominator: denominator}, nil
}

// Allows reports whether the next request would be admitted. It counts nothing.
func (c *Cap) Allows() bool {
	return (c.taken+1)*c.denominator <= (c.position+1)*c.share
}

// Admit counts one request and reports whether it is admitted. An admitted request
// that isn't sent is not compensated by a later one.
func (c *Cap) Admit() bool {
	admitted := c.Allows()
	c.position++
	if admitted {
		c.taken++
	}
	if c.position == c.denominator {
		c.position, c.taken = 0, 0
	}
	return admitted
}
