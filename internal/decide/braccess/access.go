// Package braccess authenticates operators and authorizes their changes to the
// configuration.
//
// Access depends on the role that an operator's token grants within its team:
//
//   - viewer: read-only;
//   - editor: changes resources of its own team, except tokens;
//   - administrator: also changes tokens of its own team.
//
// Resources that all teams share, such as regions and address blocks, as well as
// teams and contracts, can only be changed by the platform team, whose name is empty.
// Changing teams requires the administrator role as well.
// A resource may only refer to organisations, services, servers and routes of
// its own team. This prevents a team from granting itself a key for another
// team's organisation.
//
// # Usage
//
//	err := braccess.Check(principal, snapshot, changes)
//	if braccess.IsErrDenied(err) {
//		// respond with 403 Forbidden
//	}
package braccess

import (
	"fmt"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/core/brset"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brprincipal"
)

// ErrDenied is returned when an operator is not allowed to make a change.
type ErrDenied struct {
	principal brprincipal.Principal
	reference brconfig.Reference
	reason    string
}

// Error returns a message with the operator, the resource and the reason.
func (e ErrDenied) Error() string {
	return fmt.Sprintf("operator %q of team %q is not allowed to change %s: %s", e.principal.Name(), e.principal.Team(), e.reference, e.reason)
}

// Reference returns the reference of the resource whose change was denied.
func (e ErrDenied) Reference() brconfig.Reference { return e.reference }

// IsErrDenied reports whether err is or wraps ErrDenied.
func IsErrDenied(err error) bool {
	_, ok := errors.Into[ErrDenied](err)
	return ok
}

var (
	// platformKinds can only be changed by the platform team.
	platformKinds = brset.New(
		brconfig.KindRegion, brconfig.KindDomain, brconfig.KindLink, brconfig.KindSite, brconfig.KindBlock,
		brconfig.KindVM, brconfig.KindTeam, brconfig.KindContract, brconfig.KindUnit)
	// teamKinds can only be referred to by resources of the same team.
	teamKinds = brset.New(brconfig.KindOrganisation, brconfig.KindService, brconfig.KindServer, brconfig.KindRoute)
)

// Check returns ErrDenied for the first of the changes that the operator is not
// allowed to make.
func Check(principal brprincipal.Principal, snapshot *brconfig.Snapshot, changes []brconfig.Change) error {
	updated := map[brconfig.Reference]brconfig.Resource{}
	for _, c := range changes {
		if resource, isPut := c.Resource().Get(); isPut {
			updated[c.Reference()] = resource
		}
	}
	for _, c := range changes {
		if reason := denialReason(principal, snapshot, updated, c); reason != "" {
			return ErrDenied{principal: principal, reference: c.Reference(), reason: reason}
		}
	}
	return nil
}

// denialReason returns the reason why a change is denied, or "" if it is allowed.
func denialReason(p brprincipal.Principal, snapshot *brconfig.Snapshot, updated map[brconfig.Reference]brconfig.Resource, c brconfig.Change) string {
	if p.Role() != brconfig.RoleEditor && p.Role() != brconfig.RoleAdministrator {
		return "role " + string(p.Role()) + " is read-only"
	}
	kind := c.Reference().Kind()
	isAdministrator := p.Role() == brconfig.RoleAdministrator
	if (kind == brconfig.KindToken || kind == brconfig.KindTeam) && !isAdministrator {
		return "the administrator role is required"
	}
	if p.IsPlatform() {
		return ""
	}
	if platformKinds.Has(kind) {
		return "only the platform team may change resources of this kind"
	}
	if old, exists := snapshot.Get(c.Reference()).Get(); exists && old.Team() != p.Team() {
		return fmt.Sprintf("it belongs to team %q", old.Team())
	}
	resource, isPut := c.Resource().Get()
	if !isPut {
		return ""
	}
	if resource.Team() != p.Team() {
		return fmt.Sprintf("it would belong to team %q", resource.Team())
	}
	return referenceDenialReason(p, snapshot, updated, resource)
}

// referenceDenialReason returns the reason why a resource is denied because of what it
// refers to, or "" if all references are allowed. Resources in updated, which the
// same request creates or updates, take precedence over those in the snapshot.
func referenceDenialReason(p brprincipal.Principal, snapshot *brconfig.Snapshot, updated map[brconfig.Reference]brconfig.Resource, resource brconfig.Resource) string {
	for _, r := range resource.References() {
		if drain, ok := resource.(brconfig.Drain); ok && drain.Target().Kind() != brconfig.KindServer {
			return "its target is shared by all teams"
		}
		if !teamKinds.Has(r.Kind()) {
			continue
		}
		used, ok := updated[r]
		if !ok {
			used, ok = snapshot.Get(r).Get()
		}
		if ok && used.Team() != p.Team() {
			return fmt.Sprintf("it uses %s of team %q", r, used.Team())
		}
	}
	return ""
}
