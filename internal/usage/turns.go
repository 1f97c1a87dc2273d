package usage

import "alderdyke/pkg/clock"

// WaitingRequest is a request that waits for a place at a service's engines.
type WaitingRequest struct {
	Service   string
	Returning bool         // refused before
	Turn      uint32       // a [Turn]; the lowest of all VMs goes first
	Age       clock.Millis // time that it has waited
}

// CountAhead counts the requests of other VMs that are placed before this one:
// those of a higher priority and, within its priority, those of the kind that
// goes first and those of its own kind with a lower turn. During a shortage new
// requests go first, otherwise returning ones. A reported request counts for as
// long as such a request may wait. Within a priority turns are random and do not
// depend on the time that a request has waited: reports reach the VMs with
// different delays, so the VMs would disagree and two requests would both be
// first.
func (le *Ledger) CountAhead(now clock.Millis, req WaitingRequest, maxWait func(returning bool) clock.Millis) int {
	short, count := le.HasShortage(now), 0
	for _, other := range le.others.waitingRequests(now) {
		if other.Service == req.Service && other.Turn != req.Turn && other.Age <= maxWait(other.Returning) && other.precedes(req, short) {
			count++
		}
	}
	return count
}

// precedes reports whether the request is placed before another one. The argument
// short states whether there is a shortage.
func (wr WaitingRequest) precedes(other WaitingRequest, short bool) bool {
	switch {
	case PriorityOf(wr.Turn) != PriorityOf(other.Turn):
		return wr.Turn < other.Turn
	case wr.Returning != other.Returning:
		return wr.Returning != short
	default:
		return wr.Turn < other.Turn
	}
}
