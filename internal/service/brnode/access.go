package brnode

import (
	"bergamotroad.example/bergamotroad/internal/decide/braccess"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

func accessPolicy(settings brsettings.Administration) braccess.Policy {
	return braccess.NewPolicy().
		WithOpen(settings.Open()).
		WithBootstrap(settings.BootstrapHash())
}
