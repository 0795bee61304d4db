package dandeliongap

// Era counts how often the platform's store was restored from an older copy. Revisions of the
// store go back at the begin of an era and are assigned again, so that they can be compared
// only within one. 0 also stands for a store that does not number its eras.
type Era uint64

const (
	// eraShift is the number of bits of a Version that hold the revision. At a million
	// writes a second they last for nine years.
	eraShift = 48
	// maxRevision is the highest revision that a Version of an era above 0 holds.
	maxRevision = 1<<eraShift - 1
	// MaxEra is the highest era that a Version holds.
	MaxEra Era = 1<<(64-eraShift) - 1
)

// Version returns the version of a revision in the era. Versions of a later era are higher
// than all of an earlier one. In era 0 they are the revisions. An object that does not exist
// has no revision and the version 0 in each era.
func (e Era) Version(revision uint64) Version {
	if e == 0 || revision == 0 {
		return Version(revision)
	}
	return e.Start() | Version(min(revision, maxRevision))
}

// Start returns the version at which the era begins. It is lower than that of each change in
// the era and higher than all of earlier eras.
func (e Era) Start() Version { return Version(e) << eraShift }

// Era returns the era of a version.
func (v Version) Era() Era { return Era(v >> eraShift) }

// Revision returns the revision of a version within its era.
func (v Version) Revision() uint64 { return uint64(v & maxRevision) }
