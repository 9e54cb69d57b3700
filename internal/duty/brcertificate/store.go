// Package brcertificate provides the TLS certificates of a VM's listeners and the duty that
// reloads them when their files change.
//
// A Store holds one certificate with its authorities. A connection uses the certificate
// that is loaded when the connection is made. If a replacement can't be loaded, the error
// is logged and the previous certificate stays in use.
//
// # Usage
//
//	store, err := brcertificate.NewStore(brcertificate.NewFiles("vm.pem", "vm.key", "vms.pem"))
//	listener = tls.NewListener(listener, store.ServerConfig())
//	reloader := brcertificate.New(clock, logger, events, store)
//	group.Start(reloader.Duty())
package brcertificate

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Files holds the paths of the PEM files of a certificate.
type Files struct {
	certificate string
	key         string
	authorities string
}

// NewFiles returns the paths of certificate, key and authorities. Without authorities
// (""), clients need no certificate.
func NewFiles(certificate, key, authorities string) Files {
	return Files{certificate: certificate, key: key, authorities: authorities}
}

// identity is the loaded content of the files. It is immutable.
type identity struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	digest      [sha256.Size]byte
}

// Store holds the certificate and authorities that were last loaded.
type Store struct {
	files  Files
	loaded atomic.Pointer[identity]
}

// NewStore returns a store with the files loaded.
func NewStore(files Files) (*Store, error) {
	s := &Store{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// NotAfter returns the expiry time of the certificate in use.
func (s *Store) NotAfter() time.Time {
	return s.loaded.Load().certificate.Leaf.NotAfter
}

// Reload loads the files and reports whether their content has changed. On error the
// content that was loaded before stays in use.
func (s *Store) Reload() (bool, error) {
	next, err := loadIdentity(s.files)
	if err != nil {
		return false, err
	}
	if current := s.loaded.Load(); current != nil && current.digest == next.digest {
		return false, nil
	}
	s.loaded.Store(next)
	return true, nil
}

func loadIdentity(files Files) (*identity, error) {
	certificate, err := os.ReadFile(files.certificate)
	if err != nil {
		return nil, errors.Errorf("read certificate: %w", err)
	}
	key, err := os.ReadFile(files.key)
	if err != nil {
		return nil, errors.Errorf("read key: %w", err)
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Errorf("load certificate %s with its key: %w", files.certificate, err)
	}
	next := &identity{certificate: &pair}
	authorities := []byte{}
	if files.authorities != "" {
		if authorities, err = os.ReadFile(files.authorities); err != nil {
			return nil, errors.Errorf("read authorities: %w", err)
		}
		next.authorities = x509.NewCertPool()
		if !next.authorities.AppendCertsFromPEM(authorities) {
			return nil, errors.Errorf("no CA certificate found in %s", files.authorities)
		}
	}
	next.digest = sha256.Sum256(bytes.Join([][]byte{certificate, key, authorities}, []byte{0}))
	return next, nil
}
