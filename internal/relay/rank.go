package relay

import (
	"alderdyke/internal/pool"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// spareForUrgent is the number of further requests for which a less urgent request
// leaves room while more urgent ones are refused. Requests of one service have similar
// sizes, so it is room for one of the more urgent ones.
const spareForUrgent = 1

// rankOf returns what determines a request's position in the queue. The objective of a
// stream that broke is the same time after its last event, as its caller waits for the
// next event as long as for a first one.
func (rl *Relay) rankOf(now clock.Millis, ex *exchange, returning bool) pool.Request {
	rq := pool.Request{Returning: returning, Priority: ex.priority}
	if ex.rt.Objective > 0 {
		began := max(ex.req.Arrived, ex.lastEventAt)
		rq.Objective = max(usage.Late, ex.rt.Objective-(now-began))
	}
	return rq
}

// spareFor returns for how many further requests a place must leave room. A request
// that has waited for its own objective leaves none, otherwise it would wait until the
// more urgent ones are no longer refused. The lock is held.
func (rl *Relay) spareFor(now clock.Millis, wr usage.WaitingRequest, short bool) int {
	spare := spareRequests(wr.Returning, short)
	priority := usage.PriorityOf(wr.Turn)
	switch {
	case !rl.ledger.HasMoreUrgentShortage(now, priority):
		return spare
	case wr.Objective == usage.Late:
		return 0
	default:
		return max(spare, spareForUrgent)
	}
}
