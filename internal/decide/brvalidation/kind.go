package brvalidation

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brunit"
)

const (
	maxName           = 128 // bytes
	maxLabels         = 64
	maxLabelValue     = 256 // bytes
	maxWeight         = 1_000_000
	maxSlots          = 100_000
	maxDistances      = 64
	maxUnitWeights    = 1024
	maxAmountBits     = 63
	maxContractPeriod = 31 * 24 * time.Hour
	hashLength        = 32 // bytes of SHA-256
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
	one           = brunit.New(1, 1)
)

func isName(text string) bool {
	return len(text) <= maxName && namePattern.MatchString(text)
}

func (c *checker) name(field, text string) {
	c.require(isName(text), field, "must consist of at most %d letters, digits, '.', '_' and '-', and start and end with a letter or digit", maxName)
}

func (c *checker) meta(resource brconfig.Resource) {
	c.name("name", resource.Name())
	if resource.Team() != "" {
		c.name("team", resource.Team())
	}
	c.require(resource.Labels().Len() <= maxLabels, "labels", "must have at most %d entries", maxLabels)
	for name, value := range resource.Labels().All() {
		c.name("labels", name)
		c.require(len(value) <= maxLabelValue, "labels."+name, "must be at most %d bytes long", maxLabelValue)
	}
}

func (c *checker) address(field, text string) {
	address, err := netip.ParseAddrPort(text)
	c.require(err == nil && address.Port() > 0, field, "must be an IP address with a port")
}

func (c *checker) hash(field, text string) {
	data, err := hex.DecodeString(text)
	isHash := err == nil && len(data) == hashLength && strings.ToLower(text) == text
	c.require(isHash, field, "must be a SHA-256 in lower-case hexadecimal")
}

func (c *checker) amount(field string, amount brunit.Amount, mustBePositive bool) {
	value := amount.Rat()
	isWithinBits := value.Num().BitLen() <= maxAmountBits && value.Denom().BitLen() <= maxAmountBits
	c.require(isWithinBits, field, "numerator and denominator must be below 2^%d", maxAmountBits)
	if mustBePositive {
		c.require(amount.Sign() > 0, field, "must be greater than 0")
		return
	}
	c.require(amount.Sign() >= 0, field, "must not be negative")
}

func (c *checker) fraction(field string, amount brunit.Amount) {
	c.amount(field, amount, false)
	c.require(amount.Compare(one) <= 0, field, "must not be greater than 1")
}

func (c *checker) block(b brconfig.Block) {
	c.require(b.Prefix() == b.Prefix().Masked(), "spec.prefix", "has bits set beyond the prefix length, expected %s", b.Prefix().Masked())
	c.require(len(b.Distances()) <= maxDistances, "spec.distances", "must have at most %d entries", maxDistances)
	seen := brset.New[string]()
	for i, d := range b.Distances() {
		c.require(seen.Add(d.Site()), fmt.Sprintf("spec.distances[%d].site", i), "duplicate site %q", d.Site())
	}
}

func (c *checker) unit(u brconfig.Unit) {
	c.amount("spec.standard", u.DefaultWeight(), true)
	c.require(len(u.Weights()) <= maxUnitWeights, "spec.weights", "must have at most %d entries", maxUnitWeights)
	for route, weight := range u.Weights() {
		c.amount("spec.weights."+route, weight, true)
	}
}

func (c *checker) contract(r brconfig.Contract) {
	c.amount("spec.rate", r.Rate(), false)
	c.amount("spec.burst", r.Burst(), false)
	c.require(r.Period() > 0 && r.Period() <= maxContractPeriod, "spec.period", "must be greater than 0 and at most %s", maxContractPeriod)
}

func (c *checker) route(r brconfig.Route) {
	c.require(strings.HasPrefix(r.PathPrefix(), "/"), "spec.pathPrefix", "must start with \"/\"")
	c.require(r.Timeout() > 0, "spec.timeout", "must be greater than 0")
	c.require(r.MaxBody() > 0, "spec.maxBody", "must be greater than 0")
	for i, m := range r.Methods() {
		c.require(methodPattern.MatchString(m), fmt.Sprintf("spec.methods[%d]", i), "must be an HTTP method in upper-case letters")
	}
}

func (c *checker) role(role brconfig.Role) {
	roles := []brconfig.Role{brconfig.RoleViewer, brconfig.RoleEditor, brconfig.RoleAdministrator}
	c.require(slices.Contains(roles, role), "spec.role", "must be viewer, editor or administrator")
}

func (c *checker) move(m brconfig.Move) {
	c.name("spec.from", m.From())
	c.name("spec.to", m.To())
	c.require(m.From() != m.To(), "spec.to", "must differ from spec.from")
	c.fraction("spec.cap", m.Cap())
	c.require(m.Cap().Sign() > 0, "spec.cap", "must be greater than 0")
	c.require(m.Deadline().After(m.Start()), "spec.by", "must be later than spec.start")
	states := []brconfig.MoveState{brconfig.MovePlanned, brconfig.MoveRunning, brconfig.MoveCancelled, brconfig.MoveDone, brconfig.MoveUndone}
	c.require(slices.Contains(states, m.State()), "spec.state", "unknown state %q", m.State())
	c.require(m.Step() >= 0, "spec.step", "must not be negative")
}

func (c *checker) drain(d brconfig.Drain) {
	kinds := []brconfig.Kind{brconfig.KindServer, brconfig.KindVM, brconfig.KindDomain, brconfig.KindRegion}
	c.require(slices.Contains(kinds, d.Target().Kind()), "spec.target.kind", "must be server, vm, domain or region")
	c.require(d.Deadline().IsZero() || d.Deadline().After(d.Start()), "spec.by", "must be later than spec.at")
}
