// Package brkey decides which organisation a caller's key belongs to, and whether
// the VM's keys are fresh enough to be accepted.
//
// The package handles only hashes of keys. An attacker can't freely choose the hash
// that is looked up, so the timing of the look-up reveals nothing about the keys;
// the final comparison takes constant time nevertheless.
//
// # Usage
//
//	keychain := brkey.NewKeychain(snapshot)
//	organisation, ok := keychain.Organisation(brrequest.HashKey("the caller's key")).Get()
package brkey

import (
	"crypto/subtle"
	"encoding/hex"

	"bergamotroad.example/bergamotroad/internal/core/broption"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
)

// Keychain holds the granted keys of one snapshot. It is immutable.
type Keychain struct {
	generation uint64
	keys       map[brrequest.KeyHash]entry
}

type entry struct {
	hash         brrequest.KeyHash
	organisation string
}

// NewKeychain returns the keychain of a snapshot. A key whose hash is not valid
// hexadecimal of the right length is left out.
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

// Organisation returns the organisation that the key with a hash is granted to, if
// any.
func (k *Keychain) Organisation(hash brrequest.KeyHash) broption.Option[string] {
	found, ok := k.keys[hash]
	same := subtle.ConstantTimeCompare(found.hash[:], hash[:]) == 1
	return broption.Of(found.organisation, ok && same)
}
