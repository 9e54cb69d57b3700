package brfleet

// OrderKind is the kind of an operator's order.
type OrderKind int

// The kinds of orders.
const (
	// OrderOther is an order of an unsupported kind.
	OrderOther OrderKind = iota
	// OrderPolicy activates a configuration.
	OrderPolicy
	// OrderRollout starts the rollout of a version of a service.
	OrderRollout
	// OrderEvacuation routes requests away from a failure domain.
	OrderEvacuation
)

// Order is an instruction that an operator wrote to the store. It is immutable.
type Order struct {
	kind    OrderKind
	policy  Policy
	rollout Rollout
	domain  string
}

// NewPolicyOrder returns the order to activate a configuration.
func NewPolicyOrder(policy Policy) Order { return Order{kind: OrderPolicy, policy: policy} }

// NewRolloutOrder returns the order to roll out a version of a service.
func NewRolloutOrder(rollout Rollout) Order { return Order{kind: OrderRollout, rollout: rollout} }

// NewEvacuationOrder returns the order to send no requests to a failure domain.
func NewEvacuationOrder(domain string) Order { return Order{kind: OrderEvacuation, domain: domain} }

// Kind returns the kind of the order.
func (o Order) Kind() OrderKind { return o.kind }

// Policy returns the configuration of an OrderPolicy.
func (o Order) Policy() Policy { return o.policy }

// Rollout returns the rollout of an OrderRollout.
func (o Order) Rollout() Rollout { return o.rollout }

// Domain returns the failure domain of an OrderEvacuation.
func (o Order) Domain() string { return o.domain }
