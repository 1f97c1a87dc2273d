package usage

import "alderdyke/pkg/clock"

// Ask is a request that waits for a place at a service's engines.
type Ask struct {
	Service   string
	Returning bool         // it was refused before
	Turn      uint32       // drawn by chance; the lowest of all VMs' goes first
	Age       clock.Millis // for which it has waited
}

// Before counts the requests of other VMs that take their places ahead of this
// one: those of a higher priority, and among those of its own the ones with a lower
// turn of its kind, and those of the kind that goes first, which are the new ones
// where places are wanting and else the returning ones. A word on a request counts for as long as
// such a request may wait. Turns are drawn, not counted from the time that a
// request has waited: what VMs know of that differs by the way of their words,
// and then two of them would both be first.
func (le *Ledger) Before(now clock.Millis, ask Ask, mayWait func(returning bool) clock.Millis) int {
	short, count := le.Short(now), 0
	for _, other := range le.others.asks(now) {
		if other.Service == ask.Service && other.Turn != ask.Turn && other.Age <= mayWait(other.Returning) && other.before(ask, short) {
			count++
		}
	}
	return count
}

// before tells whether a request takes its place ahead of another one.
func (ak Ask) before(other Ask, short bool) bool {
	switch {
	case PriorityOf(ak.Turn) != PriorityOf(other.Turn):
		return ak.Turn < other.Turn
	case ak.Returning != other.Returning:
		return ak.Returning != short
	default:
		return ak.Turn < other.Turn
	}
}
