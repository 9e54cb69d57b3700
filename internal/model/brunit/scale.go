package brunit

import (
	"math/big"

	"github.com/go-faster/errors"
)

// maxScaledBits is the maximum size of scaled amounts, so that the sum of two of them
// does not overflow an int64.
const maxScaledBits = 62

// Scale converts amounts to integers without loss of precision.
type Scale struct {
	factor int64
}

// NewScale returns the smallest scale that converts each amount to a multiple of
// step. It returns an error if the factor has more than maxScaledBits bits.
func NewScale(step int64, amounts ...Amount) (Scale, error) {
	factor := big.NewInt(1)
	for _, a := range amounts {
		factor = leastCommonMultiple(factor, a.Rat().Denom())
	}
	factor.Mul(factor, big.NewInt(step))
	if factor.BitLen() > maxScaledBits {
		return Scale{}, errors.Errorf("scale factor of %d bits exceeds the maximum of %d bits", factor.BitLen(), maxScaledBits)
	}
	return Scale{factor: factor.Int64()}, nil
}

// Factor returns the integer that stands for one unit.
func (s Scale) Factor() int64 { return s.factor }

// Int returns the scaled amount. It returns an error if the result is not an integer
// or has more than maxScaledBits bits.
func (s Scale) Int(amount Amount) (int64, error) {
	scaled := amount.Times(s.factor).Rat()
	if !scaled.IsInt() {
		return 0, errors.Errorf("%s times %d is not an integer", amount, s.factor)
	}
	if scaled.Num().BitLen() > maxScaledBits {
		return 0, errors.Errorf("%s times %d exceeds %d bits", amount, s.factor, maxScaledBits)
	}
	return scaled.Num().Int64(), nil
}

func leastCommonMultiple(a, b *big.Int) *big.Int {
	divisor := new(big.Int).GCD(nil, nil, a, b)
	multiple := new(big.Int).Mul(a, b)
	return multiple.Quo(multiple, divisor)
}
