package pool

import (
	"cmp"
	"slices"

	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

type (
	// Request is a generation that needs a place.
	Request struct {
		Returning bool // it was refused before
		Priority  int  // the lowest number goes first
	}

	// Ticket is a request's turn in the queue.
	Ticket struct {
		request Request
		turn    usage.Turn
		since   clock.Millis
		tried   bool // it found no place yet
	}
)

// Enter puts a request into the queue. Its turn is drawn by chance: all VMs
// must see one order, and agree on no time. A request waits for so short a time
// that arrival would be no fairer.
func (po *Pool) Enter(now clock.Millis, req Request) *Ticket {
	tk := &Ticket{request: req, turn: usage.NewTurn(req.Priority, po.Rand.Uint32()), since: now}
	at, _ := slices.BinarySearchFunc(po.queue, tk, compare)
	po.queue = slices.Insert(po.queue, at, tk)
	return tk
}

func compare(ta, tb *Ticket) int {
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

// Leave takes a request out of the queue.
func (po *Pool) Leave(tk *Ticket) {
	if at := slices.Index(po.queue, tk); at >= 0 {
		po.queue = slices.Delete(po.queue, at, at+1)
	}
}

// IsFirst tells whether it is the request's turn. While places are wanting, new
// requests go before returning ones of their priority: who is refused twice is as
// many either way, and a place is worth more to who is not late yet.
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

// Waiting is the number of requests in the queue.
func (po *Pool) Waiting() int { return len(po.queue) }

// MarkTried notes that a request found no place, and tells whether that is new.
func (po *Pool) MarkTried(tk *Ticket) bool {
	fresh := !tk.tried
	tk.tried = true
	return fresh
}

// TriedTickets lists the requests that found no place yet, in the order of their
// turns.
func (po *Pool) TriedTickets() []*Ticket {
	var out []*Ticket
	for _, tk := range po.queue {
		if tk.tried {
			out = append(out, tk)
		}
	}
	return out
}

// Request is the generation that the ticket is for.
func (tk *Ticket) Request() Request { return tk.request }

// Turn is the request's place in the order of all VMs; the lowest goes first.
func (tk *Ticket) Turn() usage.Turn { return tk.turn }

// Waited is how long the request has been in the queue.
func (tk *Ticket) Waited(now clock.Millis) clock.Millis { return now - tk.since }
