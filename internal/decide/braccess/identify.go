package braccess

import (
	"crypto/subtle"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// Names of operators that have no token in the configuration.
const (
	bootstrapName = "bootstrap"
	openName      = "operator"
)

// Policy says who is let in beside the holders of tokens.
type Policy struct {
	open          bool
	bootstrapHash string
}

// NewPolicy returns the policy that lets in holders of tokens only.
func NewPolicy() Policy { return Policy{} }

// WithBootstrap returns the policy that lets in the holder of a token, given by
// its SHA-256 in lower-case hexadecimal, while the configuration holds no token.
func (p Policy) WithBootstrap(hash string) Policy {
	p.bootstrapHash = hash
	return p
}

// WithOpen returns the policy that lets in everybody who shows no token, or not.
func (p Policy) WithOpen(open bool) Policy {
	p.open = open
	return p
}

// Identify returns the operator who shows a token of a hash, or "" for none.
func (p Policy) Identify(snapshot *brconfig.Snapshot, hash string) broption.Option[brprincipal.Principal] {
	if hash == "" {
		return broption.Of(brprincipal.New(openName, "", brconfig.RoleAdministrator), p.open)
	}
	if holder, ok := snapshot.Holder(brconfig.TokenClaim(hash)).Get(); ok {
		token, exists := snapshot.Tokens().Get(holder.Name()).Get()
		return broption.Of(brprincipal.New(token.Name(), token.Team(), token.Role()).WithHash(hash), exists)
	}
	isBootstrap := p.bootstrapHash != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(p.bootstrapHash)) == 1
	bootstrap := brprincipal.New(bootstrapName, "", brconfig.RoleAdministrator).WithHash(hash)
	return broption.Of(bootstrap, isBootstrap && snapshot.Tokens().Len() == 0)
}

// Confirms reports whether an operator is still the one that a snapshot knows.
func (p Policy) Confirms(snapshot *brconfig.Snapshot, principal brprincipal.Principal) bool {
	current, ok := p.Identify(snapshot, principal.Hash()).Get()
	return ok && current == principal
}
