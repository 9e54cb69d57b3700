// Package brkey decides which organisation a caller's key belongs to.
//
// Only hashes of keys are known here. A look-up by hash is a look-up by a value
// that an attacker can't choose freely, so that its timing tells nothing of
// the keys; the comparison that settles it takes constant time all the same.
//
// # Usage
//
//	chain := brkey.NewKeychain(snapshot)
//	organisation, ok := chain.Organisation(brrequest.HashKey("the caller's key")).Get()
package brkey

import (
	"crypto/subtle"
	"encoding/hex"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Keychain holds the keys that are granted. It is immutable.
type Keychain struct {
	generation uint64
	keys       map[brrequest.KeyHash]entry
}

type entry struct {
	hash         brrequest.KeyHash
	organisation string
}

// NewKeychain returns the keys of a snapshot. A key whose hash can't be read is left out.
func NewKeychain(snapshot *brconfig.Snapshot) *Keychain {
	keys := make(map[brrequest.KeyHash]entry, snapshot.Keys().Len())
	for k := range snapshot.Keys().All() {
		var hash brrequest.KeyHash
		n, err := hex.Decode(hash[:], []byte(k.Hash()))
		if err != nil || n != len(hash) {
			continue
		}
		keys[hash] = entry{hash: hash, organisation: k.Organisation()}
	}
	return &Keychain{keys: keys, generation: snapshot.Generation()}
}

// Organisation returns the organisation that a key was granted to, if any.
func (k *Keychain) Organisation(hash brrequest.KeyHash) broption.Option[string] {
	found, ok := k.keys[hash]
	same := subtle.ConstantTimeCompare(found.hash[:], hash[:]) == 1
	return broption.Of(found.organisation, ok && same)
}
