// Package braccess decides what an operator may change.
//
// A viewer changes nothing. An editor changes the resources of the own team. An
// administrator also changes the tokens of the own team. What all teams share,
// such as regions and blocks, is changed by the platform's team only, and so
// are teams and contracts. A resource may use the organisations, services and
// servers of its own team only, so that no team grants itself a key of another's
// organisation.
//
// # Usage
//
//	err := braccess.Check(principal, snapshot, changes)
//	if braccess.IsErrDenied(err) {
//		// answer: forbidden
//	}
package braccess

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// ErrDenied says that an operator may not make a change.
type ErrDenied struct {
	principal brprincipal.Principal
	reference brconfig.Reference
	reason    string
}

// Error names operator, resource and reason.
func (e ErrDenied) Error() string {
	return fmt.Sprintf("%q of team %q may not change %s: %s", e.principal.Name(), e.principal.Team(), e.reference, e.reason)
}

// Reference returns the resource that may not be changed.
func (e ErrDenied) Reference() brconfig.Reference { return e.reference }

// IsErrDenied reports whether err is or wraps ErrDenied.
func IsErrDenied(err error) bool {
	_, ok := errors.Into[ErrDenied](err)
	return ok
}

var (
	platformKinds = brset.New(
		brconfig.KindRegion, brconfig.KindDomain, brconfig.KindLink, brconfig.KindSite, brconfig.KindBlock,
		brconfig.KindVM, brconfig.KindTeam, brconfig.KindContract, brconfig.KindUnit)
	privateKinds = brset.New(brconfig.KindOrganisation, brconfig.KindService, brconfig.KindServer, brconfig.KindRoute)
)

// Check returns ErrDenied where the operator may not make one of the changes.
func Check(principal brprincipal.Principal, snapshot *brconfig.Snapshot, changes []brconfig.Change) error {
	added := map[brconfig.Reference]brconfig.Resource{}
	for _, c := range changes {
		if resource, isPut := c.Resource().Get(); isPut {
			added[c.Reference()] = resource
		}
	}
	for _, c := range changes {
		if reason := denial(principal, snapshot, added, c); reason != "" {
			return ErrDenied{principal: principal, reference: c.Reference(), reason: reason}
		}
	}
	return nil
}

// denial returns why a change is denied, or "".
func denial(p brprincipal.Principal, snapshot *brconfig.Snapshot, added map[brconfig.Reference]brconfig.Resource, c brconfig.Change) string {
	if p.Role() != brconfig.RoleEditor && p.Role() != brconfig.RoleAdministrator {
		return "role " + string(p.Role()) + " only reads"
	}
	kind := c.Reference().Kind()
	isAdministrator := p.Role() == brconfig.RoleAdministrator
	if (kind == brconfig.KindToken || kind == brconfig.KindTeam) && !isAdministrator {
		return "administrators only"
	}
	if p.IsPlatform() {
		return ""
	}
	if platformKinds.Has(kind) {
		return "all teams share resources of this kind"
	}
	if old, had := snapshot.Get(c.Reference()).Get(); had && old.Team() != p.Team() {
		return fmt.Sprintf("it is of team %q", old.Team())
	}
	resource, isPut := c.Resource().Get()
	if !isPut {
		return ""
	}
	if resource.Team() != p.Team() {
		return fmt.Sprintf("it would be of team %q", resource.Team())
	}
	return foreignUse(p, snapshot, added, resource)
}

func foreignUse(p brprincipal.Principal, snapshot *brconfig.Snapshot, added map[brconfig.Reference]brconfig.Resource, resource brconfig.Resource) string {
	for _, r := range resource.References() {
		if drain, ok := resource.(brconfig.Drain); ok && drain.Target().Kind() != brconfig.KindServer {
			return "all teams share its target"
		}
		if !privateKinds.Has(r.Kind()) {
			continue
		}
		used, ok := added[r]
		if !ok {
			used, ok = snapshot.Get(r).Get()
		}
		if ok && used.Team() != p.Team() {
			return fmt.Sprintf("it uses %s of team %q", r, used.Team())
		}
	}
	return ""
}
