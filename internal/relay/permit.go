package relay

import (
	"context"
	"errors"
	"fmt"

	"alderdyke/internal/backend"
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/charge"
	"alderdyke/internal/event"
	"alderdyke/internal/pool"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// What a call leaves of a server's permits for calls that go first: nothing if it can't
	// be sent elsewhere, more for each step of priority, most at further attempts.
	reserveBound     = 0.0
	reserveFirst     = 0.25
	reservePriority  = 0.08
	reserveRepeat    = 0.32
	maxPrioritySteps = 3
	// maxPermitWait is how long a run that was stopped waits for its permit.
	maxPermitWait = 1500 * clock.Millis(1)
	// limitedSpread is the span over which the returns of callers are spread that were
	// refused for the limits of servers.
	limitedSpread = clock.Second
)

// Permits grants calls to servers that limit them, for the whole fleet.
type Permits interface {
	// TakePermit takes a permit for one call, or returns the time until there is room.
	TakePermit(ctx context.Context, or charge.PermitOrder) (pm charge.Permit, wait clock.Millis, ok bool)
	// ReturnPermit returns a permit that was not used.
	ReturnPermit(pm charge.Permit)
	// ReportCalls reports the calls that this VM made to a server just before it knew
	// the server's limit.
	ReportCalls(server string, rate float64, calls int)
}

// ensurePermit takes a permit for a call of the request to a server that limits its
// calls, unless the request holds one. One that expired, for example while a prompt was
// computed, is replaced before other calls get theirs, because the request is bound to the
// server by now. Without a permit it returns the time until there is room, and an engine
// counts as unavailable until then.
func (rl *Relay) ensurePermit(ctx context.Context, ex *exchange, server string, reserve float64) (wait clock.Millis, ok bool) {
	rate, limited := rl.limits.Rate(rl.now(), server)
	if !limited || rl.Permits == nil {
		return 0, true
	}
	rl.mu.Lock()
	earlier, held := ex.permits[server]
	expired := held && earlier.Expired(rl.now())
	if expired {
		delete(ex.permits, server)
	}
	rl.mu.Unlock()
	switch {
	case expired:
		rl.Permits.ReturnPermit(earlier)
		reserve = reserveBound
	case held:
		return 0, true
	}
	pm, wait, ok := rl.Permits.TakePermit(ctx, charge.PermitOrder{Server: server, Rate: rate, Reserve: reserve})
	now := rl.now()
	if !ok {
		if nt := rl.limits.Deny(now, server); nt != nil && rl.SendLimit != nil {
			rl.SendLimit(*nt)
		}
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !ok {
		if bs, listed := rl.Backends().Server(server); listed && bs.Role != board.Plain {
			rl.poolOf(bs.Service).Limit(now, server, wait)
		}
		return wait, false
	}
	if ex.permits == nil {
		ex.permits = make(map[string]charge.Permit)
	}
	ex.permits[server] = pm
	return 0, true
}

// reserve returns what a call of the request leaves of a server's permits.
func (ex *exchange) reserve() float64 {
	out := reserveFirst + reservePriority*float64(min(max(0, ex.priority), maxPrioritySteps))
	if ex.possibleRuns > 0 || len(ex.tried) > 0 {
		out += reserveRepeat
	}
	return out
}

// claimPermit makes sure that the request holds a permit for a call that is about to be
// sent, if one is needed. Only a run that was stopped waits for it.
func (rl *Relay) claimPermit(ctx context.Context, ex *exchange, call, server string) error {
	if call != callMoved {
		if wait, ok := rl.ensurePermit(ctx, ex, server, ex.reserve()); !ok {
			return rl.limitedRefusal(server, wait)
		}
		return nil
	}
	for until := rl.now() + maxPermitWait; ; {
		wait, ok := rl.ensurePermit(ctx, ex, server, reserveBound)
		switch {
		case ok:
			return nil
		case rl.now()+wait > until, !clock.Sleep(ctx, max(1, wait)):
			return rl.limitedRefusal(server, wait)
		}
	}
}

// usePermit takes the permit of a call that was made, and returns it if nothing reached
// the server. The field is for the call's log line; nil: it needed no permit.
func (rl *Relay) usePermit(ex *exchange, server string, err error) []event.Field {
	rl.mu.Lock()
	pm, held := ex.permits[server]
	delete(ex.permits, server)
	rl.mu.Unlock()
	if !held {
		return nil
	}
	if notSent(err) {
		rl.Permits.ReturnPermit(pm)
	}
	return []event.Field{event.F("Permit", pm.Keeper)}
}

// returnPermit returns the request's permit for a server, if it holds one.
func (rl *Relay) returnPermit(ex *exchange, server string) {
	rl.usePermit(ex, server, backend.NotSentError{Server: server})
}

// returnPermits returns all permits that the request still holds.
func (rl *Relay) returnPermits(ex *exchange) {
	rl.mu.Lock()
	left := ex.permits
	ex.permits = nil
	rl.mu.Unlock()
	for _, pm := range left {
		rl.Permits.ReturnPermit(pm)
	}
}

// mayGoElsewhere reports whether a call was not made because its server's limit became known,
// or its room for bodies was taken, after the server was chosen.
func mayGoElsewhere(err error) bool {
	rf, ok := errors.AsType[refusal.Refusal](err)
	return ok && rf.Reason == refusal.ServersLimited || errors.Is(err, errNoBodyRoom)
}

// limitedRefusal refuses a request because of a server's limit, until there is room.
func (rl *Relay) limitedRefusal(server string, wait clock.Millis) refusal.Refusal {
	rl.mu.Lock()
	after := wait + clock.Millis(rl.Rand.Int64N(int64(limitedSpread)))
	rl.mu.Unlock()
	return rl.limitedRefusalAfter(server, after)
}

// limitedRefusalAfter is limitedRefusal for a caller that is to return after a time.
func (rl *Relay) limitedRefusalAfter(server string, after clock.Millis) refusal.Refusal {
	now := rl.now()
	rate, _ := rl.limits.Rate(now, server)
	return refuse(refusal.ServersLimited, max(after, rl.Settings.PlainRetryAfter),
		fmt.Sprintf("server %s takes %.3g calls per second from all VMs, as it said %v ago", server, rate, rl.limits.Age(now, server)))
}

// pickPermitted chooses a server for which the request holds a permit, or which needs
// none, and which has room for its body, and counts the request there. If some server has
// no room for the body and no other can be chosen, the error is errNoBodyRoom.
func (rl *Relay) pickPermitted(ctx context.Context, ex *exchange) (board.BackendServer, error) {
	var denied []string
	var next string // server that has room first
	var first clock.Millis
	var full string // server without room for the body
	for {
		rl.allocate(ctx, ex, denied)
		bs, err := rl.pick(ex, denied)
		if err != nil || bs.ID != ex.allocated.Server {
			rl.endAllocation(ex) // it counts at the server that was chosen
		}
		if err != nil && full != "" {
			return bs, rl.bodyRefusal(full)
		}
		if err != nil && len(denied) > 0 {
			return bs, rl.limitedRefusal(next, first)
		}
		if err != nil {
			return bs, err
		}
		var wait clock.Millis
		room, ok := rl.claimBody(ex, bs.ID), false
		if room {
			if wait, ok = rl.ensurePermit(ctx, ex, bs.ID, ex.reserve()); ok {
				return bs, nil
			}
			rl.returnClaim(ex, bs.ID)
		}
		rl.mu.Lock()
		rl.chooser.Done(rl.now(), bs.ID, balance.Outcome{Result: balance.Cancelled})
		rl.mu.Unlock()
		denied = append(denied, bs.ID)
		switch {
		case !room:
			full = bs.ID
		case next == "" || wait < first:
			next, first = bs.ID, wait
		}
	}
}

// refuseIfAllLimited refuses a request immediately if no decode engine may be called
// until after the request could stop waiting for a place.
func (rl *Relay) refuseIfAllLimited(ctx context.Context, ex *exchange, po *pool.Pool, until clock.Millis) error {
	rl.mu.Lock()
	now := rl.now()
	server, left := po.LimitLeft(now, ex.version)
	rl.mu.Unlock()
	if left == 0 || now+left <= until {
		return nil
	}
	return rl.finalRefusal(ctx, ex, rl.limitedRefusal(server, left))
}
