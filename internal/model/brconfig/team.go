package brconfig

// Team is a group of operators that owns resources.
type Team struct {
	Meta
	maxObjects      int
	writesPerMinute int
}

// Defaults of a team.
const (
	DefaultTeamObjects         = 10_000
	DefaultTeamWritesPerMinute = 60
)

// NewTeam returns a team with the default limits.
func NewTeam(meta Meta) Team {
	return Team{Meta: meta, maxObjects: DefaultTeamObjects, writesPerMinute: DefaultTeamWritesPerMinute}
}

// WithMaxObjects returns the team with the number of resources it may own.
func (t Team) WithMaxObjects(objects int) Team {
	t.maxObjects = objects
	return t
}

// WithWritesPerMinute returns the team with the number of changes it may make in a minute.
func (t Team) WithWritesPerMinute(writes int) Team {
	t.writesPerMinute = writes
	return t
}

// Kind returns KindTeam.
func (Team) Kind() Kind { return KindTeam }

// References returns none.
func (Team) References() []Reference { return nil }

// MaxObjects returns the number of resources that the team may own.
func (t Team) MaxObjects() int { return t.maxObjects }

// WritesPerMinute returns the number of changes that the team may make in a minute.
func (t Team) WritesPerMinute() int { return t.writesPerMinute }

// Role says what the holder of a token may do.
type Role string

// The roles, each with the rights of those before it.
const (
	RoleViewer        Role = "viewer"
	RoleEditor        Role = "editor"
	RoleAdministrator Role = "administrator"
)

// Token lets an operator of a team use the administration API. It is kept as a hash.
type Token struct {
	Meta
	hash string
	role Role
}

// NewToken returns a token of the team in meta from the SHA-256 of the token in
// lower-case hexadecimal.
func NewToken(meta Meta, hash string, role Role) Token {
	return Token{Meta: meta, hash: hash, role: role}
}

// Kind returns KindToken.
func (Token) Kind() Kind { return KindToken }

// References returns the team, where there is one.
func (t Token) References() []Reference {
	if t.Team() == "" {
		return nil
	}
	return []Reference{NewReference(KindTeam, t.Team())}
}

// Claims returns the hash.
func (t Token) Claims() []Claim { return []Claim{TokenClaim(t.hash)} }

// TokenClaim returns the claim by which the token of a hash is found.
func TokenClaim(hash string) Claim { return NewClaim("token hash", hash) }

// Hash returns the SHA-256 of the token in lower-case hexadecimal.
func (t Token) Hash() string { return t.hash }

// Role returns what the holder may do.
func (t Token) Role() Role { return t.role }
