package bradministration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// HashToken returns the SHA-256 of a token as the configuration keeps it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Identify returns the operator who shows a token, or "" for none. It returns
// ErrUnidentified where nobody is let in by it.
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
		a.events.Record(brevent.New(brevent.KindAccessDenied))
		return brprincipal.Principal{}, ErrUnidentified{}
	}
	return principal, nil
}

// ErrUnidentified says that a token is missing, unknown or withdrawn.
type ErrUnidentified struct{}

// Error returns the message.
func (ErrUnidentified) Error() string { return "token is missing, unknown or withdrawn" }

// IsErrUnidentified reports whether err is or wraps ErrUnidentified.
func IsErrUnidentified(err error) bool {
	_, ok := errors.Into[ErrUnidentified](err)
	return ok
}

// ErrTooOften says that a team changes the configuration more often than it may.
type ErrTooOften struct {
	team string
	wait time.Duration
}

// Error names the team and how long it has to wait.
func (e ErrTooOften) Error() string {
	return fmt.Sprintf("team %q makes changes too often: wait %s", e.team, e.wait)
}

// Wait returns how long the team has to wait.
func (e ErrTooOften) Wait() time.Duration { return e.wait }

// IsErrTooOften reports whether err is or wraps ErrTooOften.
func IsErrTooOften(err error) bool {
	_, ok := errors.Into[ErrTooOften](err)
	return ok
}
