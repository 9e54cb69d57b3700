package brcertificate

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/go-faster/errors"
)

// protocol is the only protocol offered by ALPN.
const protocol = "http/1.1"

// ServerConfig returns the TLS configuration of a listener. If the store has
// authorities, clients must present a certificate issued by one of them. Each connection
// uses the certificate that is loaded when it is made.
func (s *Store) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.loaded.Load().serverConfig(), nil
		},
	}
}

func (i *identity) serverConfig() *tls.Config {
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{*i.certificate},
		// A resumed session would outlive the replacement of its certificate.
		SessionTicketsDisabled: true,
	}
	if i.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = i.authorities
	}
	return config
}

// ClientConfig returns the TLS configuration of a connection to another VM. The VM's
// certificate must be issued by one of the store's authorities for the given name, which
// may be an IP address.
func (s *Store) ClientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.loaded.Load().certificate, nil
		},
		// The default verification is replaced by VerifyConnection, which uses the
		// authorities that are loaded when the connection is made.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return s.verify(state, name) },
	}
}

// verify checks a server's certificate. It doesn't use the server name in the state,
// which is empty for connections to IP addresses.
func (s *Store) verify(state tls.ConnectionState, name string) error {
	authorities := s.loaded.Load().authorities
	if len(state.PeerCertificates) == 0 || authorities == nil || name == "" {
		return errors.New("verify server: certificate, authorities or server name missing")
	}
	options := x509.VerifyOptions{Roots: authorities, DNSName: name, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return errors.Errorf("verify server: %w", err)
	}
	return nil
}
