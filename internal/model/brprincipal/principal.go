// Package brprincipal provides the identity under which an operator acts.
//
// # Usage
//
//	principal := brprincipal.New("azul-ana", "azul", brconfig.RoleEditor)
//	if principal.IsPlatform() {
//		// acts for all teams
//	}
package brprincipal

import "bergamotroad.example/bergamotroad/internal/model/brconfig"

// Principal is the authenticated operator of a request to the administration API.
// It is immutable.
type Principal struct {
	name      string
	team      string
	role      brconfig.Role
	tokenHash string
}

// New returns the principal with the name of its token, a team and a role. The team
// "" is the platform team.
func New(name, team string, role brconfig.Role) Principal {
	return Principal{name: name, team: team, role: role}
}

// WithTokenHash returns the principal with the hash of the token that was presented.
func (p Principal) WithTokenHash(hash string) Principal {
	p.tokenHash = hash
	return p
}

// TokenHash returns the SHA-256 of the token that was presented, or "" if none was required.
func (p Principal) TokenHash() string { return p.tokenHash }

// Name returns the name of the token.
func (p Principal) Name() string { return p.name }

// Team returns the name of the team, or "" for the platform team.
func (p Principal) Team() string { return p.team }

// Role returns the role in the team.
func (p Principal) Role() brconfig.Role { return p.role }

// CanOperate reports whether the principal may act on state that all teams share.
func (p Principal) CanOperate() bool {
	return p.IsPlatform() && (p.role == brconfig.RoleEditor || p.role == brconfig.RoleAdministrator)
}

// IsPlatform reports whether the principal belongs to the platform team.
func (p Principal) IsPlatform() bool { return p.team == "" }
