package brrecord

// Era numbers the times that the store has returned from an older copy of itself. Within one
// era the store keeps what it has acknowledged, and its versions only rise. Era 0 is that of a
// store which doesn't tell its era.
type Era uint16

// versionBits is the number of bits of a revision that hold the store's version. At a thousand
// transactions a second they last for thousands of years.
const versionBits = 48

// MaxVersion is the highest version of the store that a revision can hold.
const MaxVersion = 1<<versionBits - 1

// Revision is the position of a change among all changes of the store: the era, and the store's
// version in it. Revisions of different eras compare correctly as numbers, although the store
// gives out its versions again in a new era.
type Revision uint64

// NewRevision returns the revision of a version of the store in an era. Versions above
// MaxVersion count as MaxVersion.
func NewRevision(era Era, version uint64) Revision {
	return Revision(uint64(era)<<versionBits | min(version, MaxVersion))
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> versionBits) }

// Version returns the store's version within the era.
func (r Revision) Version() uint64 { return uint64(r) & MaxVersion }
