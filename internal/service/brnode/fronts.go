package brnode

import (
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"bergamotroad.example/bergamotroad/internal/peer/brcaller"
	"bergamotroad.example/bergamotroad/internal/peer/brobject"
	"bergamotroad.example/bergamotroad/internal/peer/broperator"
	"bergamotroad.example/bergamotroad/internal/peer/brtable"
	"bergamotroad.example/bergamotroad/internal/service/bradministration"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 32 << 10
)

type front struct {
	name     string
	server   *http.Server
	listener net.Listener
}

func (n *Node) addFronts() error {
	platform := n.settings.Platform()
	client := &http.Client{}
	table := brtable.NewClient(client, platform.Table(), platform.Timeout())
	objects := brobject.NewClient(client, platform.Objects(), platform.Timeout())
	n.addSpread(client, table, objects)

	dispatcher := n.requests.dispatcher(n)
	callers, err := brcaller.NewHandler(n.clock, dispatcher, n.steering)
	if err != nil {
		return errors.Errorf("make callers' front: %w", err)
	}
	administration := bradministration.New(n.clock, accessPolicy(n.settings.Operators().Administration()), n.writing, n.spreading, table, objects, n.timeline)
	operators, err := broperator.NewHandler(n.settings.VM(), administration, n.timeline, n.metrics())
	if err != nil {
		return errors.Errorf("make operators' front: %w", err)
	}
	return errors.Join(
		n.addFront("callers", n.settings.Callers(), callers),
		broperator.ServePoison(operators, n.requests.poisoning),
		n.addFront("peers", n.settings.Peers(), n.requests.front(n.peersHandler(), n.clock, dispatcher)),
		n.addFront("operators", n.settings.Operators(), operators),
	)
}

func (n *Node) addFront(name string, settings brsettings.Front, handler http.Handler) error {
	listener, err := net.Listen("tcp", settings.Address())
	if err != nil {
		return errors.Errorf("listen for %s: %w", name, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.fronts = append(n.fronts, front{name: name, server: server, listener: listener})
	return nil
}

func (n *Node) closeFronts() {
	for _, f := range n.fronts {
		_ = f.listener.Close()
	}
}

func (n *Node) serve() <-chan error {
	failures := make(chan error, len(n.fronts))
	for _, f := range n.fronts {
		go func() {
			err := f.server.Serve(f.listener)
			if !errors.Is(err, http.ErrServerClosed) {
				failures <- errors.Errorf("serve %s: %w", f.name, err)
			}
		}()
	}
	return failures
}
