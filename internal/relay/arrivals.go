package relay

import (
	"context"
	"errors"

	"alderdyke/internal/backend"
	"alderdyke/internal/event"
	"alderdyke/pkg/refusal"
)

// How an arrival at a backend server is paid for; values of a counter's tag.
const (
	arrivalFree = "Free" // the request's first, or its first prefill
	arrivalPaid = "Paid" // from the retry budget
)

// Calls that carry a request to a server; values of a counter's tag.
const (
	callPlain   = "Plain"
	callPrefill = "Prefill"
	callDecode  = "Decode"
	callMoved   = "Moved"
)

// maxAffordableMoves bounds the moves that a VM states in a report: it serves far fewer runs.
const maxAffordableMoves = 64

// errBudget reports that a request may not be sent to another server.
var errBudget = errors.New("the budget for retries is used up")

// arrivals counts how often a request arrived at backend servers of its service. Each
// arrival after the first is a retry, except for the first prefill that a server
// accepts. Guarded by the relay's lock.
type arrivals struct {
	counted         int     // all except that prefill
	prefillAccepted bool    // that prefill was accepted
	credit          float64 // paid for and not yet used
}

// price returns the cost of the next call.
func (ar *arrivals) price(call string) float64 {
	if ar.counted == 0 && !(ar.prefillAccepted && call == callPrefill) {
		return 0
	}
	return 1
}

// record takes the end of a paid call into account and returns how much of its price
// is refunded: all of it if nothing arrived, or if it was the first prefill.
func (ar *arrivals) record(call string, price float64, err error) (refund float64) {
	switch {
	case notSent(err):
		return price
	case call == callPrefill && !ar.prefillAccepted && err == nil:
		ar.prefillAccepted = true
		return price
	}
	ar.counted++
	return 0
}

// callWithinBudget makes a call that carries the request to a server, if the request is
// not known to crash servers, a server that limits its calls permits it, its arrival is
// free or the budget pays for it, and it need not yield its memory. Every call to a further
// server must go through here, otherwise the servers would get more retries during a
// failure than the budget allows. The fields are for the call's log line.
func (rl *Relay) callWithinBudget(ctx context.Context, ex *exchange, call, server string, do func() error) ([]event.Field, error) {
	if err := rl.checkPoison(ctx, ex); err != nil {
		return nil, backend.NotSentError{Server: server, Call: call, Err: err}
	}
	if err := rl.claimPermit(ctx, ex, call, server); err != nil {
		return nil, backend.NotSentError{Server: server, Call: call, Err: err}
	}
	if !ex.req.Memory.MayRun() {
		return nil, backend.NotSentError{Server: server, Call: call, Err: memoryRefusal()}
	}
	price, ok := rl.payForCall(ex, call)
	if !ok {
		return nil, backend.NotSentError{Server: server, Call: call, Err: errBudget}
	}
	began := rl.now()
	rl.limits.CountCall(began, server)
	err := do()
	permit := rl.usePermit(ex, server, err)
	rl.observePath(ex, server, began, err)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	refund := ex.arrivals.record(call, price, err)
	ex.arrivals.credit += refund
	if refund < price || price == 0 && !notSent(err) {
		rl.count("Arrivals", map[string]string{"Service": ex.svc.Name, "Call": call, "Way": arrivalTag(price)})
	}
	return append(permit, event.F("Arrivals", ex.arrivals.counted), event.F("Paid", price-refund)), err
}

// isWithheld reports whether this VM did not make a call for a reason that lies in the
// request, so that it says nothing about the server.
func isWithheld(err error) bool {
	_, refused := errors.AsType[refusal.Refusal](err)
	return refused || errors.Is(err, errBudget)
}

func notSent(err error) bool {
	oc, _ := backend.OutcomeOf(err)
	return oc == backend.NotSent
}

func arrivalTag(price float64) string {
	if price > 0 {
		return arrivalPaid
	}
	return arrivalFree
}

// payForCall takes the price of the next call from earlier payments, or otherwise
// from the budget.
func (rl *Relay) payForCall(ex *exchange, call string) (price float64, ok bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.applyRetryShare()
	price = ex.arrivals.price(call)
	if ex.arrivals.credit >= price {
		ex.arrivals.credit -= price
		return price, true
	}
	return price, rl.budget.Spend(rl.now(), "", ex.svc.Name, price)
}

// reserveArrival pays for one more arrival before the run that it continues is
// stopped, because stopping a run that can't continue elsewhere would cut it for
// nothing. For a run that need not move, more than half of the budget must be left, so that
// no retry is refused because of the move.
func (rl *Relay) reserveArrival(rn *run, reason moveReason) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	ex := rn.ex
	if reason == moveFull && !rl.hasSpareBudget(ex.svc.Name) {
		return false
	}
	if _, there := rl.runs[rn]; !there || !rl.budget.Spend(rl.now(), "", ex.svc.Name, 1) {
		return false
	}
	ex.arrivals.credit++
	return true
}

// hasSpareBudget reports whether more than half of the budget for retries is left. The lock is
// held.
func (rl *Relay) hasSpareBudget(service string) bool { return rl.movesWithin(service) > 0 }

// movesWithin returns how many runs of a service the budget for retries lets this VM move while
// more than half of it is left. The lock is held.
func (rl *Relay) movesWithin(service string) int {
	rl.applyRetryShare()
	left := rl.budget.Balance(rl.now(), "", service) // applies the default settings
	moves := 0
	for ; moves < maxAffordableMoves && left >= 1 && left > rl.budget.Settings.Burst/2; left-- {
		moves++
	}
	return moves
}

// affordableMoves returns how many runs this VM can move now, by the service for which these
// are the fewest: a report does not name services. The lock is held.
func (rl *Relay) affordableMoves() int {
	tb := rl.table.Load()
	if tb == nil || !rl.rebalances() {
		return 0
	}
	fewest := 0
	for name := range rl.pools {
		if !isMovable(tb.Service(name)) {
			continue
		}
		if moves := rl.movesWithin(name); fewest == 0 || moves < fewest {
			fewest = moves
		}
		if fewest == 0 {
			break
		}
	}
	return fewest
}

// refundArrival returns what reserveArrival has paid. The lock is held.
func (rl *Relay) refundArrival(ex *exchange) {
	if ex.arrivals.credit >= 1 {
		ex.arrivals.credit--
		rl.budget.Refund(rl.now(), "", ex.svc.Name, 1)
	}
}

// canPayPrefillAndDecode reports whether a separate prefill and the decode that
// follows it could both be paid for. The lock is held.
func (rl *Relay) canPayPrefillAndDecode(ex *exchange) bool {
	ar := &ex.arrivals
	price := ar.price(callPrefill) + ar.price(callDecode)
	return ar.credit+rl.budget.Balance(rl.now(), "", ex.svc.Name) >= price
}

// refundArrivals returns payments that were not used to the budget.
func (rl *Relay) refundArrivals(ex *exchange) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if ex.arrivals.credit > 0 {
		rl.budget.Refund(rl.now(), "", ex.svc.Name, ex.arrivals.credit)
		ex.arrivals.credit = 0
	}
}
