package brshare

import (
	"math/bits"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brallocation"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// Parts is a number of parts of a limit.
type Parts = brallocation.Parts

// Whole is the number of parts in each limit. Scaled limits are integer multiples of it,
// so that dividing them leaves no remainder.
const Whole = brallocation.Whole

// clockErrorDivisor is the inverse of the maximum clock rate error of a VM, 500 ppm.
const clockErrorDivisor = 2000

// Limit is the rate and burst of one contract in scaled units, with the weights of its
// routes.
type Limit struct {
	unit          string
	tokenUnit     string
	scale         brunit.Scale
	perPeriod     int64
	period        time.Duration
	burst         int64
	defaultWeight int64
	weights       map[string]int64
}

// NewLimit returns the limit of a contract, scaled to integers. The error names the field
// that can't be represented without loss of precision.
func NewLimit(contract brconfig.Contract, unit brconfig.Unit) (Limit, error) {
	if contract.Period() <= 0 {
		return Limit{}, errors.New("period: must be more than 0")
	}
	amounts := []brunit.Amount{contract.Rate(), contract.Burst(), unit.DefaultWeight()}
	for _, weight := range unit.Weights() {
		amounts = append(amounts, weight)
	}
	scale, err := brunit.NewScale(int64(Whole), amounts...)
	if err != nil {
		return Limit{}, errors.Errorf("rate, burst and weights have no common scale: %w", err)
	}
	limit := Limit{
		unit:      unit.Name(),
		tokenUnit: unit.Name() + "*" + strconv.FormatInt(scale.Factor(), 10),
		scale:     scale,
		period:    contract.Period(),
		weights:   make(map[string]int64, len(unit.Weights())),
	}
	if limit.perPeriod, err = positive(scale, contract.Rate()); err != nil {
		return Limit{}, errors.Errorf("rate: %w", err)
	}
	if limit.burst, err = positive(scale, contract.Burst()); err != nil {
		return Limit{}, errors.Errorf("burst: %w", err)
	}
	if limit.defaultWeight, err = positive(scale, unit.DefaultWeight()); err != nil {
		return Limit{}, errors.Errorf("unit %q: standard: %w", unit.Name(), err)
	}
	for route, weight := range unit.Weights() {
		if limit.weights[route], err = positive(scale, weight); err != nil {
			return Limit{}, errors.Errorf("unit %q: weights.%s: %w", unit.Name(), route, err)
		}
	}
	return limit, nil
}

// CheckContracts returns an error that names the first contract of a snapshot that can't
// be scaled without loss of precision or whose organisation already has a contract.
func CheckContracts(snapshot *brconfig.Snapshot) error {
	contracts := map[string]string{}
	for c := range snapshot.Contracts().All() {
		if other, ok := contracts[c.Organisation()]; ok {
			return errors.Errorf("contract %q: organisation %q already has contract %q", c.Name(), c.Organisation(), other)
		}
		contracts[c.Organisation()] = c.Name()
		unit, _ := snapshot.Units().Get(c.Unit()).Get()
		if _, err := NewLimit(c, unit); err != nil {
			return errors.Errorf("contract %q: %w", c.Name(), err)
		}
	}
	return nil
}

// TokenUnit identifies the unit and scale of the limit's tokens.
func (l Limit) TokenUnit() string { return l.tokenUnit }

// Scale returns the scale of the limit's amounts.
func (l Limit) Scale() brunit.Scale { return l.scale }

// PerPeriod returns the scaled units that accrue in one period.
func (l Limit) PerPeriod() int64 { return l.perPeriod }

// Period returns the period of the rate.
func (l Limit) Period() time.Duration { return l.period }

// Burst returns the burst in scaled units.
func (l Limit) Burst() int64 { return l.burst }

// Weight returns the cost of one request of a route in scaled units.
func (l Limit) Weight(route string) int64 {
	if weight, ok := l.weights[route]; ok {
		return weight
	}
	return l.defaultWeight
}

// Share returns the share of the given parts. Its period is extended by the clock error,
// so that a fast clock does not raise the rate.
func (l Limit) Share(parts Parts) Share {
	count := int64(parts)
	period := l.period + (l.period+clockErrorDivisor-2)/(clockErrorDivisor-1)
	return NewShare(l.perPeriod/int64(Whole)*count, period, l.BurstOf(parts))
}

// BurstOf returns the burst of the given parts.
func (l Limit) BurstOf(parts Parts) int64 {
	return l.burst / int64(Whole) * int64(parts)
}

// convert returns a level of the previous limit in the scale of this one, rounded down.
// It returns 0 if the unit differs.
func (l Limit) convert(level int64, previous Limit) int64 {
	if l.unit != previous.unit {
		return 0
	}
	if l.scale == previous.scale {
		return level
	}
	from, to := uint64(previous.scale.Factor()), uint64(l.scale.Factor())
	if from == 0 || level <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(level), to)
	if high >= from {
		return l.burst
	}
	converted, _ := bits.Div64(high, low, from)
	return int64(min(converted, uint64(l.burst)))
}

func positive(scale brunit.Scale, amount brunit.Amount) (int64, error) {
	if amount.Sign() <= 0 {
		return 0, errors.Errorf("%s is not more than 0", amount)
	}
	return scale.Int(amount)
}
