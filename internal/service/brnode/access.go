package brnode

import (
	"encoding/hex"

	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

func accessPolicy(settings brsettings.Administration) braccess.Policy {
	if settings.Open() {
		return braccess.NewPolicy().WithOpen(true)
	}
	hash := settings.TokenHash()
	return braccess.NewPolicy().WithBootstrap(hex.EncodeToString(hash[:]))
}
