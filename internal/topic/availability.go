package topic

import (
	"cmp"

	"alderdyke/pkg/clock"
)

const (
	// outageMin is the shortest span without an answer, but with failed calls, that
	// counts as an outage. Entries expire after three missed heartbeats, so a shorter
	// span expires none.
	outageMin = 1200 * clock.Millis(1)
	// quietMax is the longest span without calls over which the store is assumed to
	// have been available.
	quietMax = 1600 * clock.Millis(1)
)

type (
	// Outage is a span in which, to this VM's knowledge, the store answered no VM.
	// The zero value stands for no known outage.
	Outage struct {
		Since      clock.Millis // last known answer before it; equal to Until if none is known
		Until      clock.Millis // its end, or the last failed call while it lasts
		ReportedBy string       // VM whose update reported it; empty: this VM's own calls
	}

	// availability tracks when the store answered, from this VM's own calls and from
	// the updates of others. Failed calls of this VM are no outage while other VMs are
	// answered.
	availability struct {
		since       clock.Millis // start of the current span of availability
		lastAnswer  clock.Millis // time of the last known answer
		previous    Outage       // the outage that ended at since; zero if none is known
		failed      bool         // a call failed after lastAnswer
		lastFailure clock.Millis // last failed call of the outage in progress since lastAnswer; zero if there is none
	}
)

// latestOutage returns the outage in progress, or else the previous one.
func (av *availability) latestOutage() Outage {
	if av.lastFailure > 0 {
		return Outage{Since: av.lastAnswer, Until: av.lastFailure}
	}
	return av.previous
}

// recordFailure records a call of this VM that was not answered.
func (av *availability) recordFailure(now clock.Millis) {
	av.failed = true
	if now-av.lastAnswer >= outageMin {
		av.lastFailure = now
	}
}

// recordAnswer records an answer to a call of this VM.
func (av *availability) recordAnswer(now clock.Millis) {
	if now-av.lastAnswer >= av.maxGap() {
		// Without calls in the gap, this VM cannot rule out an outage.
		av.since, av.previous = now, Outage{}
		if av.lastAnswer > 0 {
			av.previous = Outage{Since: av.lastAnswer, Until: now}
		}
	}
	av.markAnswered(now)
}

// merge applies the report of another VM, the reporter: the store has been available for
// span up to now, and ended says whether an outage came before that.
func (av *availability) merge(now, span clock.Millis, ended bool, reporter string) {
	since := now - span
	gap := since-av.lastAnswer >= av.maxGap() || ended && since-av.lastAnswer >= outageMin
	if gap || since < av.since {
		began := cmp.Or(av.previous.Since, since)
		if gap {
			began = av.lastAnswer
		}
		av.since, av.previous = since, Outage{}
		if ended || gap && av.failed {
			av.previous = Outage{Since: began, Until: since, ReportedBy: reporter}
		}
	}
	av.markAnswered(now)
}

// refutes reports whether this VM knows of answers during an outage that another VM
// reports to have ended span ago. A VM that made no calls during it knows of none.
func (av *availability) refutes(now, span clock.Millis) bool {
	until := now - span
	return av.lastFailure == 0 && until-av.since >= outageMin && until-av.lastAnswer < outageMin
}

// recordRestore records that the store was restored from an older copy. That counts as an
// outage which no earlier answer refutes.
func (av *availability) recordRestore(now clock.Millis) {
	*av = availability{since: now, lastAnswer: now, previous: Outage{Since: av.lastAnswer, Until: now}}
}

func (av *availability) markAnswered(now clock.Millis) {
	av.lastAnswer, av.failed, av.lastFailure = now, false, 0
}

// maxGap returns the longest span between two answers over which the store is assumed
// to have been available.
func (av *availability) maxGap() clock.Millis {
	if av.failed {
		return outageMin
	}
	return quietMax
}
