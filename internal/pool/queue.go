package pool

import (
	"cmp"
	"math"
	"slices"

	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// averageTurn is the random number of an average turn. It is odd in the bits of a turn, as
// that of a request that yields to no other ([usage.YieldEvery]).
const averageTurn = math.MaxUint32 / 2

type (
	// Request is a generation that needs a place at a decode engine.
	Request struct {
		Returning bool         // refused before
		Priority  int          // the lowest number goes first
		Objective clock.Millis // left until the first event is late, at least [usage.Late]; zero: it has none
		Due       bool         // it returns at the time that it was given
	}

	// Ticket is a request's position in the queue.
	Ticket struct {
		request Request
		turn    usage.Turn
		since   clock.Millis // when the request entered the queue
		tried   bool         // no place was found so far
		aside   bool         // it waits for something else than a place, and others go before it
	}
)

// Enter adds a request to the queue. Its turn is drawn at random because all VMs
// must agree on one order and have no common clock. Requests wait so briefly
// that the order of arrival would be no fairer.
func (po *Pool) Enter(now clock.Millis, req Request) *Ticket {
	tk := &Ticket{request: req, turn: usage.NewTurn(req.Priority, po.Rand.Uint32()), since: now}
	at, _ := slices.BinarySearchFunc(po.queue, tk, compareTickets)
	po.queue = slices.Insert(po.queue, at, tk)
	return tk
}

// compareTickets orders tickets by priority, then returning requests first, then
// by turn.
func compareTickets(ta, tb *Ticket) int {
	if byPriority := cmp.Compare(usage.PriorityOf(ta.turn), usage.PriorityOf(tb.turn)); byPriority != 0 {
		return byPriority
	}
	if ta.request.Returning != tb.request.Returning {
		if ta.request.Returning {
			return -1
		}
		return 1
	}
	return cmp.Compare(ta.turn, tb.turn)
}

// Leave removes a request from the queue.
func (po *Pool) Leave(tk *Ticket) {
	if at := slices.Index(po.queue, tk); at >= 0 {
		po.queue = slices.Delete(po.queue, at, at+1)
	}
}

// IsFirst reports whether the request is the next to be placed, in the order of
// [usage.Ledger.CountAhead]. During a shortage of places, new requests go before
// returning ones that do not differ otherwise: the number of requests that are
// refused twice stays the same, and a place is worth more to a request that is not
// late yet.
func (po *Pool) IsFirst(now clock.Millis, tk *Ticket, shortage bool) bool {
	return slices.Contains(po.queue, tk) && po.WouldBeFirst(now, tk, shortage)
}

// Preview returns the position that a request would get now, with an average turn. It does
// not enter the queue.
func (po *Pool) Preview(now clock.Millis, req Request) *Ticket {
	return &Ticket{request: req, turn: usage.NewTurn(req.Priority, averageTurn), since: now}
}

// WouldBeFirst is IsFirst for a ticket that need not be in the queue.
func (po *Pool) WouldBeFirst(now clock.Millis, tk *Ticket, shortage bool) bool {
	others := make([]usage.WaitingRequest, 0, len(po.queue))
	for _, other := range po.queue {
		if other != tk && !other.aside {
			others = append(others, other.Waiting(now))
		}
	}
	return tk.Waiting(now).CountBefore(others, shortage) == 0
}

// Waiting returns the number of requests in the queue.
func (po *Pool) Waiting() int { return len(po.queue) }

// MarkTried records that a request found no place, and reports whether this was
// its first attempt.
func (po *Pool) MarkTried(tk *Ticket) bool {
	fresh := !tk.tried
	tk.tried = true
	return fresh
}

// SetAside records whether a request waits for something else than a place, so that no other
// one need wait for it, and reports whether that is new.
func (po *Pool) SetAside(tk *Ticket, aside bool) bool {
	changed := tk.aside != aside
	tk.aside = aside
	return changed
}

// TriedTickets lists the requests that found no place so far, in queue order, without those
// that wait for something else.
func (po *Pool) TriedTickets() []*Ticket {
	var out []*Ticket
	for _, tk := range po.queue {
		if tk.tried && !tk.aside {
			out = append(out, tk)
		}
	}
	return out
}

// Request returns the generation that the ticket is for.
func (tk *Ticket) Request() Request { return tk.request }

// Turn returns the request's rank among the requests of all VMs; the lowest goes
// first.
func (tk *Ticket) Turn() usage.Turn { return tk.turn }

// Waiting returns the request as other VMs see it, without its service.
func (tk *Ticket) Waiting(now clock.Millis) usage.WaitingRequest {
	wr := usage.WaitingRequest{Returning: tk.request.Returning, Turn: tk.turn, Age: tk.Waited(now), Due: tk.request.Due}
	if tk.request.Objective > 0 {
		wr.Objective = max(usage.Late, tk.request.Objective-wr.Age)
	}
	return wr
}

// Waited returns how long the request has been in the queue.
func (tk *Ticket) Waited(now clock.Millis) clock.Millis { return now - tk.since }
