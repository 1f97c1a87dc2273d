package usage

import "alderdyke/pkg/clock"

const (
	// Late is the Objective of a request that has one and whose first event is late
	// already. It differs from zero so that a request without an objective, or of an
	// earlier build, does not count as late.
	Late clock.Millis = 1
	// minStartTime is the shortest time in which a request that gets a place has its
	// first event: a prompt of 5,000 tokens takes 95 ms and the first event 50 ms.
	minStartTime = 150 * clock.Millis(1)
	// objectiveStep is the unit in which times left to an objective are compared. What
	// is left when the request begins to wait is compared, so reports of any age give
	// the same order. The step exceeds the delay between the arrival of a request and
	// its entry into the queue, up to 50 ms on a small VM, and is less than another
	// attempt after a failed engine takes (300 ms).
	objectiveStep = 200 * clock.Millis(1)
	// YieldEvery is the number of placements of more urgent requests of which one, on
	// average, is left to a request that has waited for its own objective. The more
	// urgent ones lose at most a sixteenth of their places to all less urgent ones
	// together, and only while such a request waits. As turns are random, one in 20 such
	// requests lets 48 placements pass, and 3 in 100,000 let 160 pass.
	YieldEvery = 16
)

// WaitingRequest is a request that waits for a place at a service's engines.
type WaitingRequest struct {
	Service   string
	Returning bool         // refused before
	Turn      uint32       // a [Turn]; the lowest of all VMs goes first
	Age       clock.Millis // time that it has waited
	Objective clock.Millis // left until its first event is late, at least [Late]; zero: it has none
	Due       bool         // it returns at the time that it was given
}

// CountAhead counts the requests of other VMs that are placed before this one. The
// order is:
//
//   - a higher priority;
//   - requests that can still be in time, and those without an objective;
//   - during a shortage new requests;
//   - callers that return at the time that they were given;
//   - the least time to the objective when the request began to wait, in coarse
//     steps; requests without an objective come after the others;
//   - returning requests;
//   - the lower turn.
//
// A request of a lower priority that has waited for its own objective goes before
// the first more urgent new one that yields (see [YieldEvery]). A reported request
// counts for as long as such a request may wait. The turns are random and do not
// depend on the time that a request has waited: reports reach the VMs with
// different delays, so the VMs would disagree and two requests would both be first.
func (le *Ledger) CountAhead(now clock.Millis, req WaitingRequest, maxWait func(returning bool) clock.Millis) int {
	return CountPreceding(le.WaitingElsewhere(now), req, le.HasShortage(now), maxWait, nil)
}

// CountBefore counts the requests of a list that are placed before this one, which
// the list must not contain. The argument short states whether there is a shortage.
func (wr WaitingRequest) CountBefore(others []WaitingRequest, short bool) int {
	promoted, yielding := wr.findPromoted(others, short)
	count := 0
	for _, other := range others {
		if other.goesBefore(wr, promoted, yielding, short) {
			count++
		}
	}
	return count
}

// goesBefore is precedes, except that one request is promoted to the position before
// the one that yields to it.
func (wr WaitingRequest) goesBefore(other WaitingRequest, promoted, yielding *WaitingRequest, short bool) bool {
	switch {
	case promoted == nil:
		return wr.precedes(other, short)
	case wr == *promoted:
		return other == *yielding || yielding.precedes(other, short)
	case other == *promoted:
		return wr.precedes(*yielding, short)
	default:
		return wr.precedes(other, short)
	}
}

// findPromoted returns, of this request and the others, the first one that has waited
// for its own objective and the first more urgent one that yields to it. Both are nil
// if there is no such pair.
func (wr WaitingRequest) findPromoted(others []WaitingRequest, short bool) (promoted, yielding *WaitingRequest) {
	first := func(applies func(one WaitingRequest) bool) *WaitingRequest {
		var least *WaitingRequest
		if applies(wr) {
			least = &wr
		}
		for ix := range others {
			if one := &others[ix]; applies(*one) && (least == nil || one.precedes(*least, short)) {
				least = one
			}
		}
		return least
	}
	yielding = first(WaitingRequest.yields)
	if yielding == nil {
		return nil, nil
	}
	promoted = first(func(one WaitingRequest) bool {
		return one.isStarved() && PriorityOf(one.Turn) > PriorityOf(yielding.Turn)
	})
	if promoted == nil {
		return nil, nil
	}
	return promoted, yielding
}

// isStarved reports whether the request has waited for its own objective.
func (wr WaitingRequest) isStarved() bool { return wr.Objective == Late }

// yields reports whether the request is one of those that let a less urgent request
// pass that has waited for its objective. The turn decides, so all VMs agree.
func (wr WaitingRequest) yields() bool { return !wr.Returning && wr.Turn%YieldEvery == 0 }

// precedes reports whether the request is placed before another one. The argument
// short states whether there is a shortage. During one, new requests go before returning
// ones, also before those that are due, since they are not late yet.
func (wr WaitingRequest) precedes(other WaitingRequest, short bool) bool {
	switch {
	case PriorityOf(wr.Turn) != PriorityOf(other.Turn):
		return wr.Turn < other.Turn
	case wr.cannotBeInTime() != other.cannotBeInTime():
		return other.cannotBeInTime()
	case short && wr.Returning != other.Returning:
		return other.Returning
	case wr.Due != other.Due:
		return wr.Due
	case wr.objectiveSteps() != other.objectiveSteps():
		return wr.objectiveSteps() < other.objectiveSteps()
	case wr.Returning != other.Returning:
		return wr.Returning
	default:
		return wr.Turn < other.Turn
	}
}

// cannotBeInTime reports whether the first event of the request will be late.
func (wr WaitingRequest) cannotBeInTime() bool {
	return wr.Objective > 0 && wr.Objective <= minStartTime
}

// objectiveSteps returns the time to the request's objective when it began to wait,
// in steps. The sum of the time left and the time waited does not change as both are
// projected. Late requests are not told apart, since their sum is lost.
func (wr WaitingRequest) objectiveSteps() int {
	const none = 1 << 30
	switch {
	case wr.Objective == 0:
		return none
	case wr.cannotBeInTime():
		return 0
	default:
		return int((wr.Objective + wr.Age + objectiveStep - 1) / objectiveStep)
	}
}

// laterBy returns the request as it is after a span.
func (wr WaitingRequest) laterBy(span clock.Millis) WaitingRequest {
	wr.Age += span
	if wr.Objective > 0 {
		wr.Objective = max(Late, wr.Objective-span)
	}
	return wr
}
