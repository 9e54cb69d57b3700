// Package brunit provides exact amounts of the units in which contracts state
// limits.
//
// An amount is a rational number. Arithmetic on it never rounds.
//
// # Usage
//
//	weight, err := brunit.Parse("3/4")
//	total := weight.Times(8) // 6
package brunit

import (
	"math/big"
	"strings"

	"github.com/go-faster/errors"
)

// maxAmountLength is the maximum length of an amount's text in bytes.
const maxAmountLength = 40

// Amount is an immutable rational number of units. The zero Amount is 0.
type Amount struct {
	value *big.Rat
}

// New returns the amount numerator/denominator. It panics if the denominator is 0.
func New(numerator, denominator int64) Amount {
	return Amount{value: big.NewRat(numerator, denominator)}
}

// Parse parses an amount such as "30", "2.5" or "3/4". Exponents and other number
// bases are rejected, since a few bytes of them can denote a huge number.
func Parse(text string) (Amount, error) {
	if len(text) > maxAmountLength {
		return Amount{}, errors.Errorf("number of %d bytes exceeds the maximum of %d", len(text), maxAmountLength)
	}
	if strings.Trim(text, "0123456789./-") != "" || strings.ContainsAny(text, "eEpPxXoObB_") {
		return Amount{}, errors.Errorf("%q is not a number such as 30, 2.5 or 3/4", text)
	}
	value, ok := new(big.Rat).SetString(text)
	if !ok {
		return Amount{}, errors.Errorf("%q is not a rational number", text)
	}
	return Amount{value: value}, nil
}

// Rat returns a copy of the value.
func (a Amount) Rat() *big.Rat {
	if a.value == nil {
		return new(big.Rat)
	}
	return new(big.Rat).Set(a.value)
}

// Times returns the product of the amount and a count.
func (a Amount) Times(count int64) Amount {
	factor := new(big.Rat).SetInt64(count)
	return Amount{value: factor.Mul(factor, a.Rat())}
}

// Sign returns -1, 0 or 1.
func (a Amount) Sign() int { return a.Rat().Sign() }

// Compare returns -1, 0 or 1 if a is less than, equal to or greater than b.
func (a Amount) Compare(b Amount) int { return a.Rat().Cmp(b.Rat()) }

// String returns the amount in a format that Parse accepts.
func (a Amount) String() string { return a.Rat().RatString() }
