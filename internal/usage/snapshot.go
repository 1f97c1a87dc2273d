package usage

import "alderdyke/pkg/clock"

// AppendRuns appends the runs of all VMs at an engine to a list. Those of other VMs are
// projected to now by the speed of the engine ([Ledger.SpeedAt]).
func (le *Ledger) AppendRuns(list []Run, now clock.Millis, engine string) []Run {
	return le.appendRuns(list, now, engine, le.SpeedAt(engine))
}

// GrowthMargin returns the part by which the growth of a single run may exceed its
// expectation.
func (le *Ledger) GrowthMargin() float64 { return le.Deviations() * le.lengths.spread() }

// SetDeviations sets the margin of [Ledger.Peak], [Ledger.Fits] and [Ledger.GrowthMargin], in
// standard deviations; zero: the default. What was evaluated of the need of an engine is kept
// until it is asked for with another margin, so services with different margins do not
// discard each other's sums.
func (le *Ledger) SetDeviations(deviations float64) { le.deviations = deviations }

// Deviations returns the margin that is in force, in standard deviations.
func (le *Ledger) Deviations() float64 {
	if le.deviations > 0 {
		return le.deviations
	}
	return shortfallDeviations
}

// ReportAge returns the age of the oldest report by which another VM has runs at an engine;
// zero: no other VM has any.
func (le *Ledger) ReportAge(now clock.Millis, engine string) clock.Millis {
	oldest := clock.Millis(0)
	for vm := range le.others.runs[engine] {
		if age, fresh := le.others.age(now, vm); fresh {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// WaitingElsewhere lists the requests that wait at other VMs, with their present ages.
func (le *Ledger) WaitingElsewhere(now clock.Millis) []WaitingRequest {
	return le.others.waitingRequests(now)
}

// CountPreceding counts the listed requests that are placed before a request of the
// same service. The argument short states whether there is a shortage; maxWait is how
// long a listed request may wait, and isDue reports whether it returned at a reserved
// time; nil: as the list states. The order is that of [Ledger.CountAhead].
func CountPreceding(list []WaitingRequest, req WaitingRequest, short bool, maxWait func(returning bool) clock.Millis, isDue func(turn Turn) bool) int {
	others := make([]WaitingRequest, 0, len(list))
	for _, other := range list {
		other.Due = other.Due || isDue != nil && isDue(other.Turn)
		// A late request reports its own end of waiting, and may wait longer than those
		// of the route of this one.
		if other.Service == req.Service && other.Turn != req.Turn && (other.Age <= maxWait(other.Returning) || other.isStarved()) {
			others = append(others, other)
		}
	}
	return req.CountBefore(others, short)
}
