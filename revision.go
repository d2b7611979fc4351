package lagoonhead

// A store may come back from a copy that is older than what it had acknowledged, and give out
// again the numbers of what it lost. Each time it begins a new era. A revision has the era
// above the store's number, so that revisions grow for ever and none is given out twice.
const revisionBits = 40

// MaxEra is the largest era that a revision can have.
const MaxEra = 1<<22 - 1

// NewRevision returns the revision of the store's number in an era.
func NewRevision(era, number int64) int64 { return era<<revisionBits | number }

// EraOf returns the era of a revision. That of AnyRevision is undefined.
func EraOf(revision int64) int64 { return revision >> revisionBits }

// NumberOf returns the store's number of a revision. That of AnyRevision is undefined.
func NumberOf(revision int64) int64 { return revision & (1<<revisionBits - 1) }
