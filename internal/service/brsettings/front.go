package brsettings

import (
	"crypto/sha256"
	"encoding/hex"
)

// Front holds the settings of one listener of the VM.
type Front struct {
	address        string
	plain          bool
	tls            TLS
	limits         Limits
	administration Administration
}

// Address returns host:port.
func (f Front) Address() string { return f.address }

// Plain reports whether the front serves plain TCP, without TLS.
func (f Front) Plain() bool { return f.plain }

// TLS returns the TLS files of the front. It is empty on a plain front.
func (f Front) TLS() TLS { return f.tls }

// Limits returns the limits for clients of the front.
func (f Front) Limits() Limits { return f.limits }

// Administration returns the initial access to administration. It is set on the
// operators' front only.
func (f Front) Administration() Administration { return f.administration }

// TLS holds the paths of a front's TLS files, in PEM format.
type TLS struct {
	certificate string
	key         string
	clientCA    string
	serverName  string
}

// Certificate returns the path of the certificate chain.
func (t TLS) Certificate() string { return t.certificate }

// Key returns the path of the private key.
func (t TLS) Key() string { return t.key }

// ClientCA returns the path of the CA certificates against which client certificates
// are verified, or "" if clients need no certificate.
func (t TLS) ClientCA() string { return t.clientCA }

// ServerName returns the name that the certificates of other VMs must contain, or ""
// if they must contain the IP address that is dialled.
func (t TLS) ServerName() string { return t.serverName }

// Administration holds the initial access to administration, for the time before the
// configuration contains operators.
type Administration struct {
	open      bool
	tokenHash [sha256.Size]byte
}

// Open reports whether every client that can reach the front has administrator access.
func (a Administration) Open() bool { return a.open }

// TokenHash returns the SHA-256 of the initial administrator's token. It is zero if
// administration is open.
func (a Administration) TokenHash() [sha256.Size]byte { return a.tokenHash }

type frontOptions struct {
	mutualTLS      bool
	administration bool
}

func parseFront(s *section, defaults Limits, options frontOptions) Front {
	defer s.finish()
	front := Front{address: parseAddress(s, "address"), plain: s.flag("plain")}
	front.tls = parseTLS(s, front.plain, options.mutualTLS)
	front.limits = parseLimits(s.section("limits"), defaults)
	if options.administration {
		front.administration = parseAdministration(s)
	}
	return front
}

// parseTLS reads the TLS files of a front. A front must have either these or
// "plain": true.
func parseTLS(s *section, plain, mutualTLS bool) TLS {
	if plain {
		if s.has("tls") {
			s.addError("tls", "must be omitted if plain is true")
			s.read["tls"] = true
		}
		return TLS{}
	}
	if !s.has("tls") {
		s.addError("tls", "is missing; plain TCP must be enabled explicitly by plain: true")
	}
	inner := s.section("tls")
	defer inner.finish()
	if !s.has("tls") {
		// The missing object is reported above; discard the errors of its fields but
		// keep their paths.
		discarded := &reader{}
		inner.reader = discarded
		defer func() { s.reader.paths = append(s.reader.paths, discarded.paths...) }()
	}
	return parseTLSFiles(inner, mutualTLS)
}

func parseTLSFiles(s *section, mutualTLS bool) TLS {
	files := TLS{certificate: s.text("certificate"), key: s.text("key")}
	if mutualTLS {
		files.clientCA = s.text("clientCA")
		files.serverName = s.textOr("serverName", "")
		return files
	}
	files.clientCA = s.textOr("clientCA", "")
	return files
}

// parseAdministration reads the initial access to administration. The file must choose
// between a token and open administration.
func parseAdministration(s *section) Administration {
	open := s.flag("openAdministration")
	text := s.textOr("administratorTokenHash", "")
	if open == (text != "") {
		s.addError("administratorTokenHash", "must be set, unless openAdministration is true; not both")
		return Administration{}
	}
	if open {
		return Administration{open: true}
	}
	administration := Administration{}
	if n, err := hex.Decode(administration.tokenHash[:], []byte(hashOrEmpty(text))); err != nil || n != sha256.Size {
		s.addError("administratorTokenHash", "must be a SHA-256 in 64 hexadecimal digits")
	}
	return administration
}

// hashOrEmpty returns "" if the text does not have the length of a hash.
func hashOrEmpty(text string) string {
	if len(text) != hex.EncodedLen(sha256.Size) {
		return ""
	}
	return text
}
