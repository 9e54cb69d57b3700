package brunit

import (
	"math/big"

	"github.com/go-faster/errors"
)

// maxScaledBits bounds scaled amounts, so that sums of two do not overflow.
const maxScaledBits = 62

// Scale turns amounts into integers without loss.
type Scale struct {
	factor int64
}

// NewScale returns the least scale by which each amount becomes a whole
// multiple of step. It returns an error where the scale is too large.
func NewScale(step int64, amounts ...Amount) (Scale, error) {
	factor := big.NewInt(1)
	for _, a := range amounts {
		factor = leastCommonMultiple(factor, a.Rat().Denom())
	}
	factor.Mul(factor, big.NewInt(step))
	if factor.BitLen() > maxScaledBits {
		return Scale{}, errors.Errorf("scale of %d bits is above %d bits", factor.BitLen(), maxScaledBits)
	}
	return Scale{factor: factor.Int64()}, nil
}

// Factor returns what one unit is multiplied by.
func (s Scale) Factor() int64 { return s.factor }

// Int returns the scaled amount. It returns an error where that is not a whole
// number or too large.
func (s Scale) Int(amount Amount) (int64, error) {
	scaled := amount.Times(s.factor).Rat()
	if !scaled.IsInt() {
		return 0, errors.Errorf("%s times %d is not a whole number", amount, s.factor)
	}
	if scaled.Num().BitLen() > maxScaledBits {
		return 0, errors.Errorf("%s times %d is above %d bits", amount, s.factor, maxScaledBits)
	}
	return scaled.Num().Int64(), nil
}

func leastCommonMultiple(a, b *big.Int) *big.Int {
	divisor := new(big.Int).GCD(nil, nil, a, b)
	multiple := new(big.Int).Mul(a, b)
	return multiple.Quo(multiple, divisor)
}
