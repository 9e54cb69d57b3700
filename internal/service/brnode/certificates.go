package brnode

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/duty/brcertificate"
	"bergamotroad.example/bergamotroad/internal/peer/brentry"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

// Names of the fronts. A front is a listener with its HTTP server.
const (
	frontCallers   = "callers"
	frontPeers     = "peers"
	frontOperators = "operators"
)

// addCertificates loads the certificates of all fronts with TLS. The connector to
// other VMs uses the certificate of the peers' front.
func (n *Node) addCertificates() error {
	n.certificateStores = map[string]*brcertificate.Store{}
	n.connector = brentry.NewPlainConnector()
	fronts := map[string]brsettings.Front{
		frontCallers:   n.settings.Callers(),
		frontPeers:     n.settings.Peers(),
		frontOperators: n.settings.Operators(),
	}
	for name, front := range fronts {
		if front.Plain() {
			continue
		}
		files := front.TLS()
		store, err := brcertificate.NewStore(brcertificate.NewFiles(files.Certificate(), files.Key(), files.ClientCA()))
		if err != nil {
			return errors.Errorf("load certificate of front %s: %w", name, err)
		}
		n.certificateStores[name] = store
	}
	if store, ok := n.certificateStores[frontPeers]; ok {
		n.connector = brentry.NewConnector(store, n.settings.Peers().TLS().ServerName())
	}
	return nil
}

func (n *Node) certificateReloader() *brcertificate.Reloader {
	return brcertificate.New(n.clock, n.logger, n.timeline, slices.Collect(maps.Values(n.certificateStores))...)
}
