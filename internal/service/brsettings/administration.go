package brsettings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Administration says who may use the administration API beside the holders of
// tokens in the configuration.
type Administration struct {
	open          bool
	bootstrapHash string
}

// Administration returns who may use the administration API.
func (s Settings) Administration() Administration { return s.administration }

// Open reports whether everybody who reaches the API may use it without a token.
func (a Administration) Open() bool { return a.open }

// BootstrapHash returns the SHA-256 of the token that is let in while the
// configuration holds none, or "".
func (a Administration) BootstrapHash() string { return a.bootstrapHash }

type administrationDocument struct {
	Open          bool   `json:"open"`
	BootstrapHash string `json:"bootstrapHash"`
}

func (c *checker) administration(d administrationDocument) Administration {
	data, err := hex.DecodeString(d.BootstrapHash)
	isHash := err == nil && len(data) == sha256.Size && strings.ToLower(d.BootstrapHash) == d.BootstrapHash
	if d.BootstrapHash != "" && !isHash {
		c.fault("administration.bootstrapHash", "must be a SHA-256 in lower-case hexadecimal")
	}
	return Administration{open: d.Open, bootstrapHash: d.BootstrapHash}
}
