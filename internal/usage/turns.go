package usage

import "alderdyke/pkg/clock"

// WaitingRequest is a request that waits for a place at a service's engines.
type WaitingRequest struct {
	Service   string
	Returning bool         // it was refused before
	Turn      uint32       // drawn by chance; the lowest of all VMs' goes first
	Age       clock.Millis // for which it has waited
}

// CountAhead counts the requests of other VMs that take their places ahead of this
// one: those of a higher priority, and among those of its own the ones with a lower
// turn of its kind, and those of the kind that goes first, which are the new ones
// where places are wanting and else the returning ones. A word on a request counts for as long as
// such a request may wait. Turns are drawn, not counted from the time that a
// request has waited: what VMs know of that differs by the way of their words,
// and then two of them would both be first.
func (le *Ledger) CountAhead(now clock.Millis, req WaitingRequest, maxWait func(returning bool) clock.Millis) int {
	short, count := le.HasShortage(now), 0
	for _, other := range le.others.waitingRequests(now) {
		if other.Service == req.Service && other.Turn != req.Turn && other.Age <= maxWait(other.Returning) && other.precedes(req, short) {
			count++
		}
	}
	return count
}

// precedes tells whether a request takes its place ahead of another one.
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
