package suspect

import (
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// Weights of a crash. If the server had begun to answer the request, the request is
	// more likely there by chance. If the request was alone, no other request can have
	// caused the crash.
	weightPlain    = 1.0
	weightAnswered = 0.65
	weightAlone    = 1.5
	// coincidenceWindow is the time within which crashes of several servers are taken
	// to have one cause. The servers of a failure domain crash within one network delay
	// between domains, while a request needs at least 50 ms to reach its next server.
	coincidenceWindow = 25 * clock.Millis(1)

	longAgo = clock.Millis(math.MinInt64 / 2)
)

// weigh returns the weight of a mark's crashes, except for those at explained servers.
// Requests that share a part run at many servers, of which a failure domain loses
// several at once, so those that had begun to answer count once for a moment.
func (tr *Tracker) weigh(ev *evidence, explained func(server string) bool) float64 {
	sum, lastAnswered := 0.0, longAgo
	for _, cr := range ev.crashes {
		if cr.retracted || explained(cr.server) {
			continue
		}
		if cr.answered {
			if cr.at <= lastAnswered+coincidenceWindow {
				continue
			}
			lastAnswered = cr.at
		}
		sum += cr.weight() / float64(1+tr.coincidingServers(cr, ev.crashes))
	}
	return sum
}

func (cr crashRecord) weight() float64 {
	weight := weightPlain
	if cr.answered {
		weight = weightAnswered
	}
	if cr.concurrent == 0 {
		weight *= weightAlone
	}
	return weight
}

// coincidingServers counts the servers that crashed at the same time as the given one
// and did not run the request.
func (tr *Tracker) coincidingServers(cr crashRecord, list []crashRecord) int {
	count := 0
	for _, se := range tr.recentServers {
		near := se.at >= cr.at-coincidenceWindow && se.at <= cr.at+coincidenceWindow
		if near && !slices.ContainsFunc(list, func(one crashRecord) bool { return one.server == se.server }) {
			count++
		}
	}
	return count
}

// distinctCrashes returns the number of a mark's crashes, except for those at explained
// servers. Crashes at the same moment count once, because a request that many callers
// send at once runs at many servers.
func (ev *evidence) distinctCrashes(explained func(server string) bool) int {
	count, last := 0, longAgo
	for _, cr := range ev.crashes {
		if !cr.retracted && !explained(cr.server) && cr.at > last+coincidenceWindow {
			count++
			last = cr.at
		}
	}
	return count
}

// nothing explains no crash.
func nothing(string) bool { return false }

// reachesBound reports whether a mark is to be refused for its crashes, except for those
// at explained servers.
func (tr *Tracker) reachesBound(ev *evidence, explained func(server string) bool) bool {
	return tr.weigh(ev, explained) >= tr.refuseWeight() || ev.distinctCrashes(explained) >= tr.refuseCrashes()
}
