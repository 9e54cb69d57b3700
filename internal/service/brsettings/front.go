package brsettings

import (
	"crypto/sha256"
	"encoding/hex"
)

// Front is an address that the VM listens on.
type Front struct {
	address        string
	plain          bool
	tls            TLS
	limits         Limits
	administration Administration
}

// Address returns host:port.
func (f Front) Address() string { return f.address }

// Plain reports whether the front speaks plain TCP.
func (f Front) Plain() bool { return f.plain }

// TLS returns the files of the front's TLS; they are empty on a plain front.
func (f Front) TLS() TLS { return f.tls }

// Limits returns what the front takes from its clients.
func (f Front) Limits() Limits { return f.limits }

// Administration returns who may administrate; it is set on the operators' front.
func (f Front) Administration() Administration { return f.administration }

// TLS names the files of a front's TLS, in PEM.
type TLS struct {
	certificate string
	key         string
	clientCA    string
	serverName  string
}

// Certificate returns the path of the certificate with its chain.
func (t TLS) Certificate() string { return t.certificate }

// Key returns the path of the private key.
func (t TLS) Key() string { return t.key }

// ClientCA returns the path of the authorities whose clients are let in, or ""
// where clients need no certificate.
func (t TLS) ClientCA() string { return t.clientCA }

// ServerName returns the name that other VMs' certificates must hold, or ""
// where they must hold the IP number that was called.
func (t TLS) ServerName() string { return t.serverName }

// Administration says who may administrate before the configuration holds operators.
type Administration struct {
	open      bool
	tokenHash [sha256.Size]byte
}

// Open reports whether everyone who reaches the front may administrate.
func (a Administration) Open() bool { return a.open }

// TokenHash returns the SHA-256 of the first administrator's token; it is zero
// where administration is open.
func (a Administration) TokenHash() [sha256.Size]byte { return a.tokenHash }

type frontOptions struct {
	mutual         bool
	administration bool
}

func frontOf(s *section, defaults Limits, options frontOptions) Front {
	defer s.finish()
	front := Front{address: addressOf(s, "address"), plain: s.flag("plain")}
	front.tls = tlsOf(s, front.plain, options.mutual)
	front.limits = limitsOf(s.section("limits"), defaults)
	if options.administration {
		front.administration = administrationOf(s)
	}
	return front
}

// tlsOf reads the TLS of a front. A front has either that or "plain": true.
func tlsOf(s *section, plain, mutual bool) TLS {
	if plain {
		if s.has("tls") {
			s.fault("tls", "must be left out where plain is true")
			s.known["tls"] = true
		}
		return TLS{}
	}
	if !s.has("tls") {
		s.fault("tls", "is missing; plain TCP must be chosen by plain: true")
	}
	inner := s.section("tls")
	defer inner.finish()
	if !s.has("tls") {
		// The missing object was reported, its fields need not be.
		quiet := &reader{}
		inner.reader = quiet
		defer func() { s.reader.paths = append(s.reader.paths, quiet.paths...) }()
	}
	return tlsFilesOf(inner, mutual)
}

func tlsFilesOf(s *section, mutual bool) TLS {
	files := TLS{certificate: s.text("certificate"), key: s.text("key")}
	if mutual {
		files.clientCA = s.text("clientCA")
		files.serverName = s.textOr("serverName", "")
		return files
	}
	files.clientCA = s.textOr("clientCA", "")
	return files
}

// administrationOf reads the choice between a token and open administration.
func administrationOf(s *section) Administration {
	open := s.flag("openAdministration")
	text := s.textOr("administratorTokenHash", "")
	if open == (text != "") {
		s.fault("administratorTokenHash", "must be set, unless openAdministration is true; not both")
		return Administration{}
	}
	if open {
		return Administration{open: true}
	}
	administration := Administration{}
	if n, err := hex.Decode(administration.tokenHash[:], []byte(boundedHash(text))); err != nil || n != sha256.Size {
		s.fault("administratorTokenHash", "must be a SHA-256 of 64 hexadecimal digits")
	}
	return administration
}

// boundedHash returns "" for a text that is not as long as a hash.
func boundedHash(text string) string {
	if len(text) != hex.EncodedLen(sha256.Size) {
		return ""
	}
	return text
}
