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

// Principal is an operator as the administration API knows it. It is immutable.
type Principal struct {
	name string
	team string
	role brconfig.Role
	hash string
}

// New returns the operator of a name, a team and a role. The team "" is that of
// the platform.
func New(name, team string, role brconfig.Role) Principal {
	return Principal{name: name, team: team, role: role}
}

// WithHash returns the operator with the hash of the token that was shown.
func (p Principal) WithHash(hash string) Principal {
	p.hash = hash
	return p
}

// Hash returns the SHA-256 of the token that was shown, or "" where none was asked for.
func (p Principal) Hash() string { return p.hash }

// Name returns the name of the token.
func (p Principal) Name() string { return p.name }

// Team returns the name of the team, or "" for the platform's.
func (p Principal) Team() string { return p.team }

// Role returns the role in the team.
func (p Principal) Role() brconfig.Role { return p.role }

// CanOperate reports whether the operator may act on what all teams share.
func (p Principal) CanOperate() bool {
	return p.IsPlatform() && (p.role == brconfig.RoleEditor || p.role == brconfig.RoleAdministrator)
}

// IsPlatform reports whether the operator is of the platform's team.
func (p Principal) IsPlatform() bool { return p.team == "" }
