package brcertificate

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/go-faster/errors"
)

// protocol is the only one that is offered.
const protocol = "http/1.1"

// ServerConfig returns the configuration of a front. Where the keeper has
// authorities, clients must show a certificate of theirs.
func (k *Keeper) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.loaded.Load().serverConfig(), nil
		},
	}
}

func (i *identity) serverConfig() *tls.Config {
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{*i.certificate},
		// A resumed session would outlive a certificate that was replaced.
		SessionTicketsDisabled: true,
	}
	if i.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = i.authorities
	}
	return config
}

// ClientConfig returns the configuration of a connection to another VM, whose
// certificate must come from the keeper's authorities and hold the name, which
// may be an IP number.
func (k *Keeper) ClientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.loaded.Load().certificate, nil
		},
		// VerifyConnection does what is switched off here, with the
		// authorities that are in use at the time of the connection.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return k.verify(state, name) },
	}
}

// verify checks a server's certificate. The name in the state is not used: it
// is empty where an IP number was called.
func (k *Keeper) verify(state tls.ConnectionState, name string) error {
	authorities := k.loaded.Load().authorities
	if len(state.PeerCertificates) == 0 || authorities == nil || name == "" {
		return errors.New("nothing to verify the server by")
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
