package brconfig

// Team is a group of operators that owns resources.
type Team struct {
	Meta
	maxObjects      int
	writesPerMinute int
}

// Default limits of a team.
const (
	DefaultTeamObjects         = 10_000
	DefaultTeamWritesPerMinute = 60
)

// NewTeam returns a team with the default limits.
func NewTeam(meta Meta) Team {
	return Team{Meta: meta, maxObjects: DefaultTeamObjects, writesPerMinute: DefaultTeamWritesPerMinute}
}

// WithMaxObjects returns the team with the maximum number of resources that it may own.
func (t Team) WithMaxObjects(objects int) Team {
	t.maxObjects = objects
	return t
}

// WithWritesPerMinute returns the team with the maximum number of changes per minute.
func (t Team) WithWritesPerMinute(writes int) Team {
	t.writesPerMinute = writes
	return t
}

// Kind returns KindTeam.
func (Team) Kind() Kind { return KindTeam }

// References returns nil, since a team refers to no other resource.
func (Team) References() []Reference { return nil }

// MaxObjects returns the maximum number of resources that the team may own.
func (t Team) MaxObjects() int { return t.maxObjects }

// WritesPerMinute returns the maximum number of changes per minute.
func (t Team) WritesPerMinute() int { return t.writesPerMinute }

// Role defines what the holder of a token may do.
type Role string

// The roles. Each includes the permissions of those before it.
const (
	RoleViewer        Role = "viewer"
	RoleEditor        Role = "editor"
	RoleAdministrator Role = "administrator"
)

// Token authenticates an operator at the administration API. Only its hash is stored.
type Token struct {
	Meta
	hash string
	role Role
}

// NewToken returns a token of the team in meta. The hash is the SHA-256 of the
// token in lower-case hexadecimal.
func NewToken(meta Meta, hash string, role Role) Token {
	return Token{Meta: meta, hash: hash, role: role}
}

// Kind returns KindToken.
func (Token) Kind() Kind { return KindToken }

// References returns a reference to the team, if there is one.
func (t Token) References() []Reference {
	if t.Team() == "" {
		return nil
	}
	return []Reference{NewReference(KindTeam, t.Team())}
}

// UniqueValues returns the hash, which only one token may have.
func (t Token) UniqueValues() []UniqueValue { return []UniqueValue{TokenUniqueValue(t.hash)} }

// TokenUniqueValue returns the unique value by which a token is looked up from its hash.
func TokenUniqueValue(hash string) UniqueValue { return NewUniqueValue("token hash", hash) }

// Hash returns the SHA-256 of the token in lower-case hexadecimal.
func (t Token) Hash() string { return t.hash }

// Role returns the role of the holder.
func (t Token) Role() Role { return t.role }
