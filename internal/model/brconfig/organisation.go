package brconfig

import (
	"time"

	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

// defaultMaxKeyAge is the default maximum time for which a VM accepts keys without
// confirmation that its copy of the configuration is current.
const defaultMaxKeyAge = 5 * time.Second

// Organisation is a tenant whose callers authenticate with keys.
type Organisation struct {
	Meta
	weight    int
	maxKeyAge time.Duration
}

// NewOrganisation returns an organisation with weight 1.
func NewOrganisation(meta Meta) Organisation {
	return Organisation{Meta: meta, weight: 1, maxKeyAge: defaultMaxKeyAge}
}

// WithWeight returns the organisation with the given weight in fair queues.
func (o Organisation) WithWeight(weight int) Organisation {
	o.weight = weight
	return o
}

// WithMaxKeyAge returns the organisation with the maximum time for which its keys
// are accepted without confirmation that they are current.
func (o Organisation) WithMaxKeyAge(age time.Duration) Organisation {
	o.maxKeyAge = age
	return o
}

// Kind returns KindOrganisation.
func (Organisation) Kind() Kind { return KindOrganisation }

// References returns nil, since an organisation refers to no other resource.
func (Organisation) References() []Reference { return nil }

// Weight returns the weight in fair queues.
func (o Organisation) Weight() int { return o.weight }

// MaxKeyAge returns the maximum time for which keys are accepted without
// confirmation that they are current.
func (o Organisation) MaxKeyAge() time.Duration { return o.maxKeyAge }

// Key is the key of a caller. Only its hash is stored.
type Key struct {
	Meta
	organisation string
	hash         string
}

// NewKey returns a key of an organisation from the SHA-256 of the key in
// lower-case hexadecimal.
func NewKey(meta Meta, organisation, hash string) Key {
	return Key{Meta: meta, organisation: organisation, hash: hash}
}

// Kind returns KindKey.
func (Key) Kind() Kind { return KindKey }

// References returns a reference to the organisation.
func (k Key) References() []Reference {
	return []Reference{NewReference(KindOrganisation, k.organisation)}
}

// Organisation returns the name of the organisation.
func (k Key) Organisation() string { return k.organisation }

// Hash returns the SHA-256 of the key in lower-case hexadecimal.
func (k Key) Hash() string { return k.hash }

// UniqueValues returns the hash, which only one key may have.
func (k Key) UniqueValues() []UniqueValue { return []UniqueValue{NewUniqueValue("key hash", k.hash)} }

// Unit defines the cost of a request in the unit in which a contract is metered.
type Unit struct {
	Meta
	defaultWeight brunit.Amount
	weights       map[string]brunit.Amount
}

// NewUnit returns a unit in which every request has the default weight.
func NewUnit(meta Meta, defaultWeight brunit.Amount) Unit {
	return Unit{Meta: meta, defaultWeight: defaultWeight}
}

// WithWeight returns the unit with the weight of one request of a route.
func (u Unit) WithWeight(route string, weight brunit.Amount) Unit {
	weights := make(map[string]brunit.Amount, len(u.weights)+1)
	for r, w := range u.weights {
		weights[r] = w
	}
	weights[route] = weight
	u.weights = weights
	return u
}

// Kind returns KindUnit.
func (Unit) Kind() Kind { return KindUnit }

// References returns references to the routes that have their own weight.
func (u Unit) References() []Reference {
	references := make([]Reference, 0, len(u.weights))
	for route := range u.weights {
		references = append(references, NewReference(KindRoute, route))
	}
	return references
}

// DefaultWeight returns the weight of a request on routes without their own weight.
func (u Unit) DefaultWeight() brunit.Amount { return u.defaultWeight }

// Weights returns the weights by route. The caller must not modify the map.
func (u Unit) Weights() map[string]brunit.Amount { return u.weights }

// Weight returns the weight of one request of a route.
func (u Unit) Weight(route string) brunit.Amount {
	if w, ok := u.weights[route]; ok {
		return w
	}
	return u.defaultWeight
}

// Contract is the rate limit agreed with an organisation.
type Contract struct {
	Meta
	organisation string
	unit         string
	rate         brunit.Amount
	period       time.Duration
	burst        brunit.Amount
}

// NewContract returns a contract for rate units per period with a burst in units.
func NewContract(meta Meta, organisation, unit string, rate brunit.Amount, period time.Duration, burst brunit.Amount) Contract {
	return Contract{Meta: meta, organisation: organisation, unit: unit, rate: rate, period: period, burst: burst}
}

// Kind returns KindContract.
func (Contract) Kind() Kind { return KindContract }

// References returns references to the organisation and the unit.
func (c Contract) References() []Reference {
	return []Reference{NewReference(KindOrganisation, c.organisation), NewReference(KindUnit, c.unit)}
}

// Organisation returns the name of the organisation.
func (c Contract) Organisation() string { return c.organisation }

// Unit returns the name of the unit.
func (c Contract) Unit() string { return c.unit }

// Rate returns the number of units per period.
func (c Contract) Rate() brunit.Amount { return c.rate }

// Period returns the period of the rate.
func (c Contract) Period() time.Duration { return c.period }

// Burst returns the number of units that may be used at once.
func (c Contract) Burst() brunit.Amount { return c.burst }

// UniqueValues returns the organisation, which may have only one contract.
func (c Contract) UniqueValues() []UniqueValue {
	return []UniqueValue{NewUniqueValue("contract of", c.organisation)}
}
