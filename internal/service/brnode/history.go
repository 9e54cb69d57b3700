package brnode

import (
	"net/http"

	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/service/brhistory"
)

// history returns the merged event timelines of all VMs in the configuration.
func (n *Node) history(configuration brhistory.ConfigurationSource) *brhistory.History {
	client := &http.Client{Transport: n.connector.Transport()}
	return brhistory.New(n.settings.VM(), n.timeline, configuration, func(address string) brhistory.Peer {
		return brentry.NewPeer(client, "http://"+address)
	})
}
