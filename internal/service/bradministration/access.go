package bradministration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// HashToken returns the hexadecimal SHA-256 of a token, the form in which the
// configuration stores it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Identify authenticates the bearer of a token; an empty token stands for a
// request without one. It returns ErrUnidentified if the token grants no access.
func (a *Administration) Identify(ctx context.Context, token string) (brprincipal.Principal, error) {
	snapshot, err := a.Snapshot(ctx)
	if err != nil {
		return brprincipal.Principal{}, err
	}
	hash := ""
	if token != "" {
		hash = HashToken(token)
	}
	principal, ok := a.policy.Identify(snapshot, hash).Get()
	if !ok {
		return brprincipal.Principal{}, ErrUnidentified{}
	}
	return principal, nil
}

// ErrUnidentified is returned for a missing, unknown or revoked token.
type ErrUnidentified struct{}

// Error implements error.
func (ErrUnidentified) Error() string { return "token is missing, unknown or revoked" }

// IsErrUnidentified reports whether err is or wraps ErrUnidentified.
func IsErrUnidentified(err error) bool {
	_, ok := errors.Into[ErrUnidentified](err)
	return ok
}

// ErrTooOften is returned when a team exceeds its rate limit for configuration
// changes.
type ErrTooOften struct {
	team string
	wait time.Duration
}

// Error includes the team and the time until its next change is allowed.
func (e ErrTooOften) Error() string {
	return fmt.Sprintf("team %q exceeds its rate limit for configuration changes: retry in %s", e.team, e.wait)
}

// Wait returns the time until the team's next change is allowed.
func (e ErrTooOften) Wait() time.Duration { return e.wait }

// IsErrTooOften reports whether err is or wraps ErrTooOften.
func IsErrTooOften(err error) bool {
	_, ok := errors.Into[ErrTooOften](err)
	return ok
}
