// Package memory decides which requests hold the part of a VM's memory that is meant for
// request bodies and buffered answers.
//
// [Accountant] is the decision; [Budget] is the same for many goroutines, with a lock. The
// order in which requests yield, and its reasons:
//
//  1. While the sum fits, everything is granted, whatever its rank.
//  2. Otherwise the least urgent request that has not run is refused: it costs the least,
//     since no work is lost and its caller may retry at once elsewhere. The least urgent is
//     that of the highest priority value, and of these the one that came last. The request
//     that asks is compared like the others, unless it has run. A request whose body is
//     complete, and that waits for a server, yields only to one of a lower priority value,
//     and after those of its own value whose bodies are still being read: its body would
//     have to be sent again.
//  3. While requests that were told to yield still hold enough, the asker is paused, and
//     nobody else yields.
//  4. A request that has run is granted more only while all together hold at most half of
//     the budget, and is paused beyond that: nobody is refused for it. Its owner passes on
//     what it has read of the answer, which needs no more memory, so that the server waits
//     for the caller. The other half is for bodies: otherwise a few callers that read slowly
//     would keep a VM from taking any request. An answer that can't be passed on before it
//     is whole is counted in any case ([Accountant.Add]), also beyond the budget, since
//     waiting for memory would free none: then further requests are refused until there is
//     room, and nobody yields to one that would still find none.
//  5. No decision takes memory from a request that has run. An answer that is complete is
//     never dropped, and no request has to be cut here.
//
// A request counts as one that may have run from the moment at which its body may be sent to
// a server.
//
// # Usage
//
//	bg := memory.NewBudget(28 << 20)
//	hd := bg.Begin(priority, func() { ... }) // the function interrupts the reading of the body
//	defer hd.End()
//	if err := hd.Reserve(ctx, 4096); err != nil { ... } // ErrRefused, ErrTooLarge or the context's
//	if !hd.Complete(func() { ... }) { ... } // it was refused; the function ends the wait for a server
//	if !hd.MayRun() { ... }                 // it was refused before it ran
//	if hd.TryReserve(4096) { ... } // otherwise the answer is passed on
//	hd.Add(4096)                   // of an answer that is held in any case
package memory

type (
	// Accountant decides about one budget. It is not safe for use from several goroutines.
	Accountant struct {
		Limit    int64 // in bytes, for all requests
		held     int64
		yielding int64 // the part of held that requests hold which were told to yield
		last     uint64
		requests map[uint64]*request
	}

	// Verdict is the decision on one reservation.
	Verdict interface{ isVerdict() }

	// Granted means that the bytes are held.
	Granted struct{}

	// Paused means that the asker holds no more than before and may ask again when bytes
	// were released.
	Paused struct{}

	// Yields means that a request that has not run has to be refused, and to end. If it is
	// the asker, it has to end; otherwise the asker is paused.
	Yields struct{ ID uint64 }

	// Exceeds means that the asker would exceed the budget even if it were alone.
	Exceeds struct{}

	request struct {
		priority int
		held     int64
		complete bool // its body was read
		mayRun   bool // it may have run
		yields   bool // it was told to yield
	}
)

func (Granted) isVerdict() {}
func (Paused) isVerdict()  {}
func (Yields) isVerdict()  {}
func (Exceeds) isVerdict() {}

// Held returns the bytes that all requests hold.
func (ac *Accountant) Held() int64 { return ac.held }

// HeldBy returns the bytes that a request holds.
func (ac *Accountant) HeldBy(id uint64) int64 {
	if rq, ok := ac.requests[id]; ok {
		return rq.held
	}
	return 0
}

// Begin adds a request that has not run, and returns its ID. The lowest priority is the most
// urgent.
func (ac *Accountant) Begin(priority int) uint64 {
	if ac.requests == nil {
		ac.requests = make(map[uint64]*request)
	}
	ac.last++
	ac.requests[ac.last] = &request{priority: priority}
	return ac.last
}

// End removes a request and releases what it holds.
func (ac *Accountant) End(id uint64) {
	if rq, ok := ac.requests[id]; ok {
		ac.Release(id, rq.held)
		delete(ac.requests, id)
	}
}

// Release releases bytes of a request, at most those that it holds.
func (ac *Accountant) Release(id uint64, bytes int64) {
	rq, ok := ac.requests[id]
	if !ok {
		return
	}
	bytes = max(0, min(bytes, rq.held))
	rq.held -= bytes
	ac.held -= bytes
	if rq.yields {
		ac.yielding -= bytes
	}
}

// Add adds bytes that a request holds in any case, also beyond the budget.
func (ac *Accountant) Add(id uint64, bytes int64) {
	rq, ok := ac.requests[id]
	if !ok {
		return
	}
	rq.held += bytes
	ac.held += bytes
	if rq.yields {
		ac.yielding += bytes
	}
}

// Complete records that the body of a request was read, and reports false if the request was
// told to yield before.
func (ac *Accountant) Complete(id uint64) bool {
	rq, ok := ac.requests[id]
	if !ok || rq.yields {
		return false
	}
	rq.complete = true
	return true
}

// Rank changes the priority of a request.
func (ac *Accountant) Rank(id uint64, priority int) {
	if rq, ok := ac.requests[id]; ok {
		rq.priority = priority
	}
}

// MayRun records that a request may run from now on, and reports false if it was told to
// yield before.
func (ac *Accountant) MayRun(id uint64) bool {
	rq, ok := ac.requests[id]
	if !ok || rq.yields {
		return false
	}
	rq.mayRun = true
	return true
}

// Reserve decides whether a request may hold more bytes.
func (ac *Accountant) Reserve(id uint64, bytes int64) Verdict {
	rq, ok := ac.requests[id]
	switch {
	case !ok || rq.yields:
		return Yields{ID: id}
	case rq.held+bytes > ac.Limit:
		return Exceeds{}
	case rq.mayRun && ac.held+bytes > ac.Limit/2:
		return Paused{}
	case ac.held+bytes <= ac.Limit:
		rq.held += bytes
		ac.held += bytes
		return Granted{}
	case ac.held-ac.yielding+bytes <= ac.Limit:
		return Paused{}
	}
	victim, most := ac.leastUrgent(id)
	if ac.held-ac.yielding-most+bytes > ac.Limit {
		victim = id // there would be no room for it if all others yielded
	}
	ac.requests[victim].yields = true
	ac.yielding += ac.requests[victim].held
	return Yields{ID: victim}
}

// leastUrgent returns the least urgent request that may yield to the asker: that has not run
// and holds bytes or asks for them. The asker has not run, so there is one. Most is what those
// hold that yield before the asker.
func (ac *Accountant) leastUrgent(asker uint64) (out uint64, most int64) {
	for id, rq := range ac.requests {
		switch {
		case rq.mayRun || rq.yields:
			continue
		case id != asker && rq.held == 0:
			continue
		case id != asker && rq.complete && rq.priority <= ac.requests[asker].priority:
			continue
		case ac.requests[out] == nil || ac.lessUrgent(id, out):
			out = id
		}
		if id != asker && ac.lessUrgent(id, asker) {
			most += rq.held
		}
	}
	return out, most
}

// lessUrgent reports whether a request yields before another one.
func (ac *Accountant) lessUrgent(id, other uint64) bool {
	rq, ot := ac.requests[id], ac.requests[other]
	switch {
	case rq.priority != ot.priority:
		return rq.priority > ot.priority
	case rq.complete != ot.complete:
		return ot.complete
	default:
		return id > other
	}
}
