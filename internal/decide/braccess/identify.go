package braccess

import (
	"crypto/subtle"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// Names of operators that are not holders of a configured token.
const (
	bootstrapName = "bootstrap"
	anonymousName = "operator"
)

// Policy defines who has access besides the holders of tokens that are in the
// configuration. It is immutable.
type Policy struct {
	allowAnonymous bool
	bootstrapHash  string
}

// NewPolicy returns a policy that grants access to holders of configured tokens
// only.
func NewPolicy() Policy { return Policy{} }

// WithBootstrapToken returns a copy of the policy that accepts a bootstrap token, given
// by its SHA-256 in lower-case hexadecimal, as long as the configuration contains
// no tokens. Its holder is an administrator of the platform team.
func (p Policy) WithBootstrapToken(hash string) Policy {
	p.bootstrapHash = hash
	return p
}

// WithAnonymousAccess returns a copy of the policy that allows or denies requests
// without a token. If allowed, they have the rights of an administrator of the
// platform team.
func (p Policy) WithAnonymousAccess(allowed bool) Policy {
	p.allowAnonymous = allowed
	return p
}

// Identify returns the operator that a token hash authenticates. An empty hash
// stands for a request without a token.
func (p Policy) Identify(snapshot *brconfig.Snapshot, hash string) broption.Option[brprincipal.Principal] {
	if hash == "" {
		return broption.Of(brprincipal.New(anonymousName, "", brconfig.RoleAdministrator), p.allowAnonymous)
	}
	if holder, ok := snapshot.UniqueValueOwner(brconfig.TokenUniqueValue(hash)).Get(); ok {
		token, exists := snapshot.Tokens().Get(holder.Name()).Get()
		return broption.Of(brprincipal.New(token.Name(), token.Team(), token.Role()).WithTokenHash(hash), exists)
	}
	isBootstrap := p.bootstrapHash != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(p.bootstrapHash)) == 1
	bootstrap := brprincipal.New(bootstrapName, "", brconfig.RoleAdministrator).WithTokenHash(hash)
	return broption.Of(bootstrap, isBootstrap && snapshot.Tokens().Len() == 0)
}

// IsCurrent reports whether the operator's token is still valid in the snapshot
// and grants the same name, team and role.
func (p Policy) IsCurrent(snapshot *brconfig.Snapshot, principal brprincipal.Principal) bool {
	current, ok := p.Identify(snapshot, principal.TokenHash()).Get()
	return ok && current == principal
}
