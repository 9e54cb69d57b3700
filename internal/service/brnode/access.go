package brnode

import (
	"encoding/hex"

	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

// accessPolicy returns the access policy of the operators' API: open, or protected
// by the administrator's token while the configuration holds no token.
func accessPolicy(settings brsettings.Administration) braccess.Policy {
	if settings.Open() {
		return braccess.NewPolicy().WithAnonymousAccess(true)
	}
	hash := settings.TokenHash()
	return braccess.NewPolicy().WithBootstrapToken(hex.EncodeToString(hash[:]))
}
