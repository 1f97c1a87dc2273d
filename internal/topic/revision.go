package topic

import "cmp"

// Revision orders the values that one writer gives to a key. A store may carry out a write
// long after later ones of the same writer, so that the offsets of records do not.
// The zero value stands for an unknown revision.
type Revision struct {
	Incarnation uint64 // of the writer, higher in each run; zero if it does not tell it
	Renewal     uint64 // number of the value in that run, from 1; zero if it is not known
}

// IsAfter reports whether a value of this revision was written after one of another revision.
// Within a run of the writer, everything is after a value without a number.
func (rv Revision) IsAfter(other Revision) bool {
	if rv.Incarnation != other.Incarnation {
		return rv.Incarnation > other.Incarnation
	}
	return rv.Renewal > other.Renewal || other.Renewal == 0
}

// Max returns the later one of two revisions.
func (rv Revision) Max(other Revision) Revision {
	if cmp.Or(cmp.Compare(rv.Incarnation, other.Incarnation), cmp.Compare(rv.Renewal, other.Renewal)) < 0 {
		return other
	}
	return rv
}
