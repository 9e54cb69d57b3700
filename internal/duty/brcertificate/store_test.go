package brcertificate

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/model/brevent"
	"bergamotroad.example/bergamotroad/internal/standin/brauthority"
)

type recorder struct {
	kinds []brevent.Kind
}

func (r *recorder) Record(event brevent.Event) { r.kinds = append(r.kinds, event.Kind()) }

func newAuthority(t *testing.T, name string) *brauthority.Authority {
	t.Helper()
	authority, err := brauthority.New(name)
	require.NoError(t, err)
	return authority
}

// issueStore writes a certificate issued by the authority and returns a store with it.
func issueStore(t *testing.T, authority *brauthority.Authority, names ...string) *Store {
	t.Helper()
	folder := t.TempDir()
	files := NewFiles(filepath.Join(folder, "vm.pem"), filepath.Join(folder, "vm.key"), filepath.Join(folder, "ca.pem"))
	require.NoError(t, authority.WriteCertificate(files.authorities))
	require.NoError(t, authority.Issue(files.certificate, files.key, names...))
	store, err := NewStore(files)
	require.NoError(t, err)
	return store
}

// handshake makes a connection and returns the handshake errors of client and server.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	a, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	b, err := listener.Accept()
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() {
		connection := tls.Server(b, server)
		err := connection.Handshake()
		if err == nil {
			_, err = connection.Write([]byte("x"))
		}
		_ = b.Close()
		served <- err
	}()
	connection := tls.Client(a, client)
	_, clientErr = io.ReadFull(connection, make([]byte, 1))
	_ = a.Close()
	return clientErr, <-served
}

func TestVMsTrustOnlyCertificatesOfTheirAuthorityAndName(t *testing.T) {
	authority := newAuthority(t, "vms")
	client := issueStore(t, authority, "127.0.0.1")
	server := issueStore(t, authority, "127.0.0.2", "entry.example")
	untrusted := issueStore(t, newAuthority(t, "others"), "127.0.0.2")

	for _, name := range []string{"127.0.0.2", "entry.example"} {
		clientErr, serverErr := handshake(t, client.ClientConfig(name), server.ServerConfig())
		require.NoError(t, clientErr)
		require.NoError(t, serverErr)
	}
	clientErr, _ := handshake(t, client.ClientConfig("127.0.0.9"), server.ServerConfig())
	require.Error(t, clientErr, "the certificate is for another IP address")
	clientErr, _ = handshake(t, client.ClientConfig(""), server.ServerConfig())
	require.Error(t, clientErr, "no name to verify")
	clientErr, _ = handshake(t, client.ClientConfig("127.0.0.2"), untrusted.ServerConfig())
	require.Error(t, clientErr, "the server's authority is unknown")
	_, serverErr := handshake(t, untrusted.ClientConfig("127.0.0.2"), server.ServerConfig())
	require.Error(t, serverErr, "the client's authority is unknown")
	_, serverErr = handshake(t, &tls.Config{InsecureSkipVerify: true}, server.ServerConfig())
	require.Error(t, serverErr, "the client has no certificate")
}

func TestReplacedCertificateIsUsedAndBrokenOneIsNot(t *testing.T) {
	authority := newAuthority(t, "vms")
	client := issueStore(t, authority, "127.0.0.1")
	server := issueStore(t, authority, "127.0.0.2")
	events := &recorder{}
	h := &handler{logger: log.New(io.Discard), events: events, stores: []*Store{server}, lastErrors: make([]string, 1)}

	h.Tick(t.Context(), time.Time{})
	require.Empty(t, events.kinds)

	require.NoError(t, authority.Issue(server.files.certificate, server.files.key, "127.0.0.3"))
	h.Tick(t.Context(), time.Time{})
	require.Equal(t, []brevent.Kind{KindCertificateReplaced}, events.kinds)
	clientErr, _ := handshake(t, client.ClientConfig("127.0.0.3"), server.ServerConfig())
	require.NoError(t, clientErr)

	// A key that doesn't match the certificate, as when only one of the two files has
	// been replaced yet.
	require.NoError(t, authority.Issue(filepath.Join(t.TempDir(), "other.pem"), server.files.key, "127.0.0.3"))
	h.Tick(t.Context(), time.Time{})
	h.Tick(t.Context(), time.Time{})
	require.NoError(t, os.Remove(server.files.key))
	h.Tick(t.Context(), time.Time{})
	require.Equal(t, []brevent.Kind{KindCertificateReplaced, KindCertificateBroken, KindCertificateBroken}, events.kinds)
	clientErr, serverErr := handshake(t, client.ClientConfig("127.0.0.3"), server.ServerConfig())
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)
}
