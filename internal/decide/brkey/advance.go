package brkey

import "bergamotroad.example/bergamotroad/internal/model/brconfig"

// Advance returns the keychain of a later snapshot. It shares the map of keys if no
// key has changed.
func (k *Keychain) Advance(snapshot *brconfig.Snapshot) *Keychain {
	if !snapshot.KindsChangedSince(k.generation, brconfig.KindKey) {
		return &Keychain{keys: k.keys, generation: snapshot.Generation()}
	}
	return NewKeychain(snapshot)
}
