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
// request without one. It returns ErrUnauthenticated if the token grants no access.
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
		return brprincipal.Principal{}, ErrUnauthenticated{}
	}
	return principal, nil
}

// ErrUnauthenticated is returned for a missing, unknown or revoked token.
type ErrUnauthenticated struct{}

// Error implements error.
func (ErrUnauthenticated) Error() string { return "token is missing, unknown or revoked" }

// IsErrUnauthenticated reports whether err is or wraps ErrUnauthenticated.
func IsErrUnauthenticated(err error) bool {
	_, ok := errors.Into[ErrUnauthenticated](err)
	return ok
}

// ErrRateLimited is returned when a team exceeds its rate limit for configuration
// changes.
type ErrRateLimited struct {
	team string
	wait time.Duration
}

// Error includes the team and the time until its next change is allowed.
func (e ErrRateLimited) Error() string {
	return fmt.Sprintf("team %q exceeds its rate limit for configuration changes: retry in %s", e.team, e.wait)
}

// RetryAfter returns the time until the team's next change is allowed.
func (e ErrRateLimited) RetryAfter() time.Duration { return e.wait }

// IsErrRateLimited reports whether err is or wraps ErrRateLimited.
func IsErrRateLimited(err error) bool {
	_, ok := errors.Into[ErrRateLimited](err)
	return ok
}
