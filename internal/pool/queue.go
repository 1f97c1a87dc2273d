package pool

import (
	"cmp"
	"slices"

	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

type (
	// Request is a generation that needs a place at a decode engine.
	Request struct {
		Returning bool // refused before
		Priority  int  // the lowest number goes first
	}

	// Ticket is a request's position in the queue.
	Ticket struct {
		request Request
		turn    usage.Turn
		since   clock.Millis // when the request entered the queue
		tried   bool         // no place was found so far
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

// IsFirst reports whether the request is the next to be placed. During a
// shortage of places, new requests go before returning ones of the same
// priority: the number of requests that are refused twice stays the same, and a
// place is worth more to a request that is not late yet.
func (po *Pool) IsFirst(tk *Ticket, shortage bool) bool {
	if len(po.queue) == 0 {
		return false
	}
	first := po.queue[0]
	for _, other := range po.queue {
		if !shortage || usage.PriorityOf(other.turn) != usage.PriorityOf(first.turn) {
			break
		}
		if !other.request.Returning {
			return other == tk
		}
	}
	return first == tk
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

// TriedTickets lists the requests that found no place so far, in queue order.
func (po *Pool) TriedTickets() []*Ticket {
	var out []*Ticket
	for _, tk := range po.queue {
		if tk.tried {
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

// Waited returns how long the request has been in the queue.
func (tk *Ticket) Waited(now clock.Millis) clock.Millis { return now - tk.since }
