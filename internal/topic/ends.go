package topic

import "alderdyke/pkg/clock"

const (
	// maxEnds bounds how many ends of a topic a VM remembers.
	maxEnds = 8
	// maxUpdateDelay is the time that an update may take from one VM to another.
	maxUpdateDelay = 100 * clock.Millis(1)
)

type (
	// topicEnd is where a topic ended at a time, or some time after it.
	topicEnd struct {
		next uint64
		at   clock.Millis
	}

	// topicEnds are known ends of a topic, the oldest first.
	topicEnds []topicEnd
)

// with returns the ends with another one, if it is the furthest.
func (te topicEnds) with(next uint64, at clock.Millis) topicEnds {
	last := len(te) - 1
	switch {
	case last < 0 || next > te[last].next:
		out := append(topicEnds(nil), te[max(0, len(te)-maxEnds+1):]...)
		return append(out, topicEnd{next, at})
	case next == te[last].next && at > te[last].at:
		out := append(topicEnds(nil), te[:last]...)
		return append(out, topicEnd{next, at})
	default:
		return te
	}
}

// before returns a time before which the record at an offset was not written; zero if none is
// known.
func (te topicEnds) before(offset uint64) clock.Millis {
	for ix := len(te) - 1; ix >= 0; ix-- {
		if te[ix].next <= offset {
			return te[ix].at
		}
	}
	return 0
}
