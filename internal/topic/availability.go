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
		Since  clock.Millis // the last known answer before it; Until if none is known
		Until  clock.Millis // its end, or the last failed call
		Teller string       // VM whose news told of it; empty: own calls
	}

	// availability is what a VM knows of when the store answered, from its own calls
	// and from the news of others. A VM whose calls fail while others are answered
	// has seen no outage.
	availability struct {
		since  clock.Millis // start of the span in which the store is known to answer
		last   clock.Millis // last known answer
		before Outage       // that ended at since; zero: none is known
		failed bool         // a call failed after last
		away   clock.Millis // last failed call of an outage that goes on, since last; zero: none does
	}
)

// outage is the newest outage.
func (av *availability) outage() Outage {
	if av.away > 0 {
		return Outage{Since: av.last, Until: av.away}
	}
	return av.before
}

// fail notes a call of this VM that was not answered.
func (av *availability) fail(now clock.Millis) {
	av.failed = true
	if now-av.last >= outageMin {
		av.away = now
	}
}

// answer notes an answer to a call of this VM.
func (av *availability) answer(now clock.Millis) {
	if now-av.last >= av.gapMax() {
		// A VM that made no call in the gap does not know that there was no outage.
		av.since, av.before = now, Outage{}
		if av.last > 0 {
			av.before = Outage{Since: av.last, Until: now}
		}
	}
	av.answered(now)
}

// hear takes the word of another VM, the teller: the store has answered for a span up
// to now, and with ended an outage came before.
func (av *availability) hear(now, span clock.Millis, ended bool, teller string) {
	since := now - span
	gap := since-av.last >= av.gapMax() || ended && since-av.last >= outageMin
	if gap || since < av.since {
		began := cmp.Or(av.before.Since, since)
		if gap {
			began = av.last
		}
		av.since, av.before = since, Outage{}
		if ended || gap && av.failed {
			av.before = Outage{Since: began, Until: since, Teller: teller}
		}
	}
	av.answered(now)
}

// refutes tells whether this VM knows of answers in an outage that another VM says
// ended a span ago. A VM that made no call in it knows of none.
func (av *availability) refutes(now, span clock.Millis) bool {
	until := now - span
	return av.away == 0 && until-av.since >= outageMin && until-av.last < outageMin
}

// restart notes that the store came back with older entries, which is an outage
// that no earlier answer refutes.
func (av *availability) restart(now clock.Millis) {
	*av = availability{since: now, last: now, before: Outage{Since: av.last, Until: now}}
}

func (av *availability) answered(now clock.Millis) { av.last, av.failed, av.away = now, false, 0 }

// gapMax is the longest span between two answers in which the store is assumed to
// have answered throughout.
func (av *availability) gapMax() clock.Millis {
	if av.failed {
		return outageMin
	}
	return quietMax
}
