package brnode

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/duty/brcertificate"
	"bergamotroad.example/bergamotroad/internal/service/brsettings"
	"bergamotroad.example/bergamotroad/internal/service/brshutdown"
	"bergamotroad.example/bergamotroad/internal/standin/brauthority"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

const plain = `"plain": true`

// newNode returns a VM with a fake platform. The other parameters are the TLS
// settings of the fronts, as JSON members.
func newNode(t *testing.T, tlsSettings, peersTLSSettings string) *Node {
	t.Helper()
	faults := brplatform.NewFaults()
	mux := http.NewServeMux()
	mux.Handle("/v3/kv/", brplatform.NewTable(faults))
	mux.Handle("/objects/", http.StripPrefix("/objects", brplatform.NewObjectStore(faults)))
	mux.Handle("/vms", brplatform.NewVMList(faults))
	platform := httptest.NewServer(mux)
	t.Cleanup(platform.Close)
	settings, err := brsettings.Parse(fmt.Appendf(nil, `{
	  "vm": "vm-1", "domain": "a", "drain": {"lookups": "0s"},
	  "callers": {"address": %q, %s}, "peers": {"address": %q, %s},
	  "operators": {"address": %q, %s, "openAdministration": true},
	  "platform": {"table": %q, "objects": %q, "vms": %q}}`,
		freeAddress(t), tlsSettings, freeAddress(t), peersTLSSettings, freeAddress(t), tlsSettings,
		platform.URL, platform.URL+"/objects", platform.URL+"/vms"))
	require.NoError(t, err)
	node, err := New(settings, brclock.NewSystem(), log.New(io.Discard))
	require.NoError(t, err)
	t.Cleanup(node.closeFronts)
	return node
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// start starts the VM. It returns the function that stops it and the channel that
// receives the result of Run.
func start(t *testing.T, node *Node) (stop context.CancelFunc, ended <-chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- node.Run(ctx) }()
	return cancel, result
}

func TestDutyPanicStopsVM(t *testing.T) {
	node := newNode(t, plain, plain)
	node.distributor.Subscribe(nil) // a nil subscriber makes the duty panic at the first snapshot
	_, ended := start(t, node)
	body := `[{"kind": "region", "name": "montevideo"}]`
	response, err := http.Post("http://"+node.settings.Operators().Address()+"/v1/apply", "application/json", strings.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
	require.ErrorContains(t, <-ended, `duty "spreading" panicked`)
}

func TestLeavingVMIsNotReadyButServes(t *testing.T) {
	node := newNode(t, plain, plain)
	status := make(chan int, 2)
	node.OnLeave(brshutdown.NewStep("request readiness", time.Minute, func(context.Context) error {
		for _, path := range []string{"/readyz", "/healthz"} {
			response, err := http.Get("http://" + node.settings.Operators().Address() + path)
			if err != nil {
				return err
			}
			_ = response.Body.Close()
			status <- response.StatusCode
		}
		return nil
	}))
	stop, ended := start(t, node)
	stop()
	require.NoError(t, <-ended)
	require.Equal(t, http.StatusServiceUnavailable, <-status)
	require.Equal(t, http.StatusOK, <-status)
}

func TestFrontsUseTLSAndPeersAuthenticateEachOther(t *testing.T) {
	directory := t.TempDir()
	path := func(name string) string { return filepath.Join(directory, name) }
	authority, err := brauthority.New("vms")
	require.NoError(t, err)
	require.NoError(t, authority.WriteCertificate(path("ca.pem")))
	require.NoError(t, authority.Issue(path("vm.pem"), path("vm.key"), "127.0.0.1"))
	secured := fmt.Sprintf(`"tls": {"certificate": %q, "key": %q}`, path("vm.pem"), path("vm.key"))
	mutual := fmt.Sprintf(`"tls": {"certificate": %q, "key": %q, "clientCA": %q}`, path("vm.pem"), path("vm.key"), path("ca.pem"))
	node := newNode(t, secured, mutual)
	stop, ended := start(t, node)

	store, err := brcertificate.NewStore(brcertificate.NewFiles(path("vm.pem"), path("vm.key"), path("ca.pem")))
	require.NoError(t, err)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: store.ClientConfig("127.0.0.1"), DisableKeepAlives: true}}
	response, err := client.Get("https://" + node.settings.Operators().Address() + "/healthz")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)

	peers := node.settings.Peers().Address()
	unauthenticated := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	_, err = unauthenticated.Get("https://" + peers)
	require.Error(t, err, "a client without a certificate of the VMs' authority must be rejected")

	transport := node.connector.Transport()
	transport.DisableKeepAlives = true
	response, err = (&http.Client{Transport: transport}).Get("http://" + peers + "/nothing")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	stop()
	require.NoError(t, <-ended)
}
