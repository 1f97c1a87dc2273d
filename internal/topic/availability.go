package topic

import (
	"cmp"

	"alderdyke/pkg/clock"
)

const (
	// outageMin is the shortest span without an answer that counts as an outage if
	// calls failed in it. Entries lapse after three heartbeats of silence, so a
	// shorter span ends none.
	outageMin = 1200 * clock.Millis(1)
	// quietMax is the longest span without a call after which the store is assumed
	// to have answered throughout.
	quietMax = 1600 * clock.Millis(1)
)

type (
	// Outage is a span in which the store answered no VM, as far as is known. The
	// zero value means that none is known.
	Outage struct {
		Since      clock.Millis // the last known answer before it; Until if none is known
		Until      clock.Millis // its end, or the last failed call
		ReportedBy string       // VM whose news told of it; empty: own calls
	}

	// availability is what a VM knows of when the store answered, from its own calls
	// and from the news of others. A VM whose calls fail while others are answered
	// has seen no outage.
	availability struct {
		since       clock.Millis // start of the span in which the store is known to answer
		lastAnswer  clock.Millis // last known answer
		previous    Outage       // that ended at since; zero: none is known
		failed      bool         // a call failed after last
		lastFailure clock.Millis // last failed call of an outage that goes on, since last; zero: none does
	}
)

// latestOutage is the newest outage.
func (av *availability) latestOutage() Outage {
	if av.lastFailure > 0 {
		return Outage{Since: av.lastAnswer, Until: av.lastFailure}
	}
	return av.previous
}

// recordFailure notes a call of this VM that was not answered.
func (av *availability) recordFailure(now clock.Millis) {
	av.failed = true
	if now-av.lastAnswer >= outageMin {
		av.lastFailure = now
	}
}

// recordAnswer notes an answer to a call of this VM.
func (av *availability) recordAnswer(now clock.Millis) {
	if now-av.lastAnswer >= av.maxGap() {
		// A VM that made no call in the gap does not know that there was no outage.
		av.since, av.previous = now, Outage{}
		if av.lastAnswer > 0 {
			av.previous = Outage{Since: av.lastAnswer, Until: now}
		}
	}
	av.markAnswered(now)
}

// merge takes the word of another VM, the teller: the store has answered for a span up
// to now, and with ended an outage came before.
func (av *availability) merge(now, span clock.Millis, ended bool, teller string) {
	since := now - span
	gap := since-av.lastAnswer >= av.maxGap() || ended && since-av.lastAnswer >= outageMin
	if gap || since < av.since {
		began := cmp.Or(av.previous.Since, since)
		if gap {
			began = av.lastAnswer
		}
		av.since, av.previous = since, Outage{}
		if ended || gap && av.failed {
			av.previous = Outage{Since: began, Until: since, ReportedBy: teller}
		}
	}
	av.markAnswered(now)
}

// refutes tells whether this VM knows of answers in an outage that another VM says
// ended a span ago. A VM that made no call in it knows of none.
func (av *availability) refutes(now, span clock.Millis) bool {
	until := now - span
	return av.lastFailure == 0 && until-av.since >= outageMin && until-av.lastAnswer < outageMin
}

// noteRestore notes that the store came back with older entries, which is an outage
// that no earlier answer refutes.
func (av *availability) noteRestore(now clock.Millis) {
	*av = availability{since: now, lastAnswer: now, previous: Outage{Since: av.lastAnswer, Until: now}}
}

func (av *availability) markAnswered(now clock.Millis) {
	av.lastAnswer, av.failed, av.lastFailure = now, false, 0
}

// maxGap is the longest span between two answers in which the store is assumed to
// have answered throughout.
func (av *availability) maxGap() clock.Millis {
	if av.failed {
		return outageMin
	}
	return quietMax
}
