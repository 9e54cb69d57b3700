package brregistry

import "bergamotroad.example/bergamotroad/internal/model/brrecord"

// EraObserver is told of the eras of a store. Its methods may be called concurrently and must
// not block.
type EraObserver interface {
	// EraChanged tells that the store is known to have returned from an older copy.
	EraChanged(from, to brrecord.Era)
	// EraUnreadable tells that replies of the store have begun not to tell their era. The
	// value is what they have in its place.
	EraUnreadable(value string)
}

// EraSource is a registry that tells the era of its store.
type EraSource interface {
	// ObserveEras registers an observer. It must be called before the first call.
	ObserveEras(observer EraObserver)
}
