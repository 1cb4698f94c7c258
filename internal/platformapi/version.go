package platformapi

// Era counts how often a store was restored from an older copy. It rises by one with each
// restore. It is zero for a store that is never restored, and as long as it is unknown.
type Era uint64

// Version is the store's version of one object. Zero means that the object does not exist.
//
// A store that was restored from a copy gives out revisions again, for other states of the
// objects. A version therefore consists of the era and the revision within the era, and is
// ordered by the era first.
type Version uint64

const (
	// revisionBits is the size of the revision within a Version: with 10,000 changes a
	// second, revisions last for 50 years.
	revisionBits = 44
	maxRevision  = 1<<revisionBits - 1
	// MaxEra is the highest era that a Version can contain.
	MaxEra Era = 1<<(64-revisionBits) - 1
)

// NewVersion returns the version with a revision in an era. Both are limited to the largest
// values that a Version can contain.
func NewVersion(era Era, revision uint64) Version {
	return Version(uint64(min(era, MaxEra))<<revisionBits | min(revision, maxRevision))
}

// Era returns the era in which the version was written.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the store's revision within the era.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }

// Restorable is a store that may be restored from an older copy. What was written after the
// copy was made is gone then, acknowledged writes and leases included.
type Restorable interface {
	// Era returns the highest era that this process knows of.
	Era() Era
	// ObserveEra records an era that another process knows of. Responses to calls that
	// were sent in an earlier era are no longer relied on.
	ObserveEra(Era)
}
