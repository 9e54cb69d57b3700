// Package brauthority provides a local certificate authority for tests and the
// demo. Its certificates are valid for one day.
//
// # Usage
//
//	authority, err := brauthority.New("vms")
//	err = authority.WriteCertificate("vms.pem")
//	err = authority.Issue("vm.pem", "vm.key", "127.0.0.1", "entry.example")
package brauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
)

const (
	lifetime        = 24 * time.Hour
	serialBits      = 64
	fileMode        = 0o600
	clockSkew       = time.Hour
	certificateType = "CERTIFICATE"
	keyType         = "EC PRIVATE KEY"
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns an authority with the given common name and a newly generated key.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Errorf("generate key of authority: %w", err)
	}
	template, err := newTemplate(name)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Errorf("sign certificate of authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Errorf("parse certificate of authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// WriteCertificate writes the authority's certificate to a PEM file.
func (a *Authority) WriteCertificate(path string) error {
	return writePEM(path, certificateType, a.certificate.Raw)
}

// Issue writes a certificate and its key to PEM files. The names are host names or
// IP addresses; the certificate is for servers and clients.
func (a *Authority) Issue(certificatePath, keyPath string, names ...string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Errorf("generate key: %w", err)
	}
	template, err := newTemplate(names[0])
	if err != nil {
		return err
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	addNames(template, names)
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return errors.Errorf("sign certificate: %w", err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Errorf("encode key: %w", err)
	}
	if err := writePEM(keyPath, keyType, encoded); err != nil {
		return err
	}
	return writePEM(certificatePath, certificateType, der)
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Errorf("generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(lifetime),
		BasicConstraintsValid: true,
	}, nil
}

func addNames(template *x509.Certificate, names []string) {
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, name)
	}
}

func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return errors.Errorf("write %s: %w", path, err)
	}
	return nil
}
