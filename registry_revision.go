package almondstep

// The registry may be restored from a copy. Its revisions then go back, and its era rises
// by one. A revision of the registry therefore has the era in its upper 16 bits, so that
// revisions are ordered across eras.
const (
	eraShift = 48
	// MaxRegistryEra is the highest era that a revision can hold.
	MaxRegistryEra = 1<<16 - 1
)

// JoinRevision combines an era and a revision within it. ok is false if one of them is
// too large.
func JoinRevision(era, revision uint64) (joined uint64, ok bool) {
	return era<<eraShift | revision, era <= MaxRegistryEra && revision < 1<<eraShift
}

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// RevisionInEra returns a revision without its era.
func RevisionInEra(revision uint64) uint64 { return revision & (1<<eraShift - 1) }
