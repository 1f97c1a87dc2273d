package relay

import (
	"cmp"
	"context"
	"strconv"
	"sync"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/pool"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// minRetryAfterPart is the smallest fraction of Settings.RetryAfter that a
	// refused caller is given; the largest fraction is as far above 1 as this is
	// below it.
	minRetryAfterPart = 0.75
	// spareWhileShort is the number of further requests that an engine must have room
	// for when it accepts a returning request during a shortage of places.
	spareWhileShort = 1
	// cleanupTimeout bounds a call that frees something at a server.
	cleanupTimeout = clock.Second
	// reserveTimeout bounds a reservation; a healthy engine answers within two
	// network hops between failure domains.
	reserveTimeout = 150 * clock.Millis(1)
)

type (
	// place is a confirmed reservation at a decode engine.
	place struct {
		server      board.BackendServer
		reservation string
		service     string
		prefill     *pool.Prefill // chosen together with the place; nil: none was
		doubtful    bool          // the engine may be down
		chosenBy    string        // the VM that chose it; empty: this one
		entry       *usage.Entry
	}

	// placeAttempt is the result of one attempt to find a place.
	placeAttempt struct {
		place  place                // zero value: none was found
		before int                  // requests at other VMs that get a place before this one
		asked  int                  // number of engines that were asked
		short  bool                 // the fleet has a shortage of places
		reply  usage.PlacementReply // of the scheduler, or of this VM as one
		bound  usage.Bound          // what kept the request from a place; empty: not known
	}
)

// isReturning reports whether the caller was refused before: it allows less time than
// callers of the route do initially, and the difference is at least what a refused
// caller is told to wait. So no VM needs to remember whom it refused. Callers that
// initially allow up to two seconds less than others still count as new.
func (rl *Relay) isReturning(ex *exchange) bool {
	if ex.req.WaitLimit > rl.longestWait[ex.rt.Name] {
		rl.longestWait[ex.rt.Name] = ex.req.WaitLimit
	}
	return rl.allowsLess(ex)
}

// allowsLess reports whether the caller allows so much less time than others that it was
// refused before. The lock is held.
func (rl *Relay) allowsLess(ex *exchange) bool {
	return ex.req.WaitLimit > 0 && ex.req.WaitLimit < rl.longestWait[ex.rt.Name]-rl.minRetryAfter()
}

// findPlace waits for a place at a decode engine. The error is a refusal.
func (rl *Relay) findPlace(ctx context.Context, ex *exchange) (pl place, err error) {
	rl.mu.Lock()
	returning := rl.isReturning(ex)
	po := rl.poolOf(ex.svc.Name)
	tk := po.Enter(rl.now(), rl.rankOf(rl.now(), ex, returning))
	waiting := po.Waiting()
	rl.mu.Unlock()
	defer func() {
		rl.mu.Lock()
		po.Leave(tk)
		rl.notifyUsageChanged()
		rl.wakeWaiters()
		rl.mu.Unlock()
	}()
	ex.hold = rl.newHold(ex, po, returning)
	defer func() { rl.countHold(ex, err == nil) }()
	asked := 0
	for {
		if err := rl.refuseIfVersionGone(ctx, ex, po); err != nil {
			return place{}, err
		}
		until := ex.hold.end(rl.now())
		tr := rl.tryPlace(ctx, ex, po, tk, until)
		asked += tr.asked
		if pl := tr.place; pl.server.ID != "" {
			rl.Log.Log(event.RelayPlaced, event.F("Request", ex.req.ID), event.F("Server", pl.server.ID), event.F("By", pl.chosenBy),
				event.F("Tokens", ex.req.Prompt.Tokens), event.F("Returning", returning), event.F("Left", ex.req.WaitLimit.String()),
				event.F("Waited", (rl.now()-ex.req.Arrived).String()), event.F("Forecast", ex.hold.String()))
			return pl, nil
		}
		until = ex.hold.update(rl.now(), tr.reply)
		if err := rl.refuseIfAllBackOff(ctx, ex, po, until); err != nil {
			return place{}, err
		}
		if err := rl.refuseIfAllLimited(ctx, ex, po, until); err != nil {
			return place{}, err
		}
		if rl.isPartitioned(ex.svc.Name) {
			return place{}, rl.refuseNoPlace(ctx, ex)
		}
		if err := rl.awaitPlace(ctx, ex, until, returning); err != nil {
			if !returning && !ex.pathLost {
				rl.reportShortage(ex.priority)
			}
			rl.logNoPlace(ex, po, tr.bound, event.F("Returning", returning), event.F("Waiting", waiting),
				event.F("Before", tr.before), event.F("Asked", asked), event.F("Short", tr.short), event.F("Forecast", ex.hold.String()))
			return place{}, rl.refuseUntil(ctx, ex, tk)
		}
		if err := rl.checkPoison(ctx, ex); err != nil {
			return place{}, err
		}
	}
}

// logNoPlace logs that a request found no place, what kept it from one, and how much
// room there was.
func (rl *Relay) logNoPlace(ex *exchange, po *pool.Pool, bound usage.Bound, fields ...event.Field) {
	rl.mu.Lock()
	now, nd := rl.now(), rl.needOf(ex, rl.synced)
	least, engines := po.LowestPeak(now, pool.Requirements{Version: ex.version, Peak: rl.peakAt(now, ex.svc.Name, nd.run)})
	rl.mu.Unlock()
	bound = cmp.Or(bound, usage.BoundUnknown)
	rl.count("NoPlace", map[string]string{"Room": strconv.FormatBool(least <= nd.limit), "Bound": string(bound)})
	rl.Log.Log(event.RelayNoPlace, append(fields, event.F("Request", ex.req.ID), event.F("Tokens", ex.req.Prompt.Tokens),
		event.F("Left", ex.req.WaitLimit.String()), event.F("Engines", engines), event.F("Least", least), event.F("Limit", nd.limit), event.F("Bound", string(bound)))...)
}

// placeWait returns how long a request of the route waits for a place. A new request
// is refused early enough that the refusal is useful; a returning request waits as
// long as its caller waits for a first event.
func (rl *Relay) placeWait(rt route.Route, returning bool) clock.Millis {
	switch {
	case returning:
		return rt.CallerPatience() - rl.Settings.StartTime
	case rt.Objective > 0:
		return clock.Millis(rl.Settings.WaitFraction * float64(rt.Objective))
	default:
		return rl.Settings.PlaceWait
	}
}

// placeDeadline returns until when a request waits for a place. A stream that broke has only
// the engines of its version, and its caller waits for the next event as long as for a first
// one.
func (rl *Relay) placeDeadline(ex *exchange, returning bool) clock.Millis {
	if ex.req.LastEventID == "" && ex.eventsSent == 0 {
		return rl.now() + rl.placeWait(ex.rt, returning)
	}
	return max(ex.req.Arrived, ex.lastEventAt) + rl.placeWait(ex.rt, true)
}

// awaitPlace waits until a place may have become free, or until the deadline.
func (rl *Relay) awaitPlace(ctx context.Context, ex *exchange, until clock.Millis, returning bool) error {
	left := until - rl.now()
	if left <= 0 {
		return context.DeadlineExceeded
	}
	rl.mu.Lock()
	moved := rl.placeFreed
	rl.mu.Unlock()
	awaitFreed(ctx, moved, min(left.Std(), ex.hold.poll(rl.turnPollInterval(returning), rl.Settings.PollInterval)))
	return ctx.Err()
}

// awaitFreed waits until the channel is closed, and reports false if that takes too long.
func awaitFreed(ctx context.Context, freed <-chan struct{}, within time.Duration) bool {
	if within <= 0 {
		return false
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-freed:
		return ctx.Err() == nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// minRetryAfter returns the shortest retry-after of a refused caller.
func (rl *Relay) minRetryAfter() clock.Millis {
	return clock.Millis(minRetryAfterPart * float64(rl.Settings.RetryAfter))
}

func (rl *Relay) refuseNoPlace(ctx context.Context, ex *exchange) error {
	return rl.finalRefusal(ctx, ex, refuse(refusal.QueueFull, rl.randomRetryAfter(), "no decode engine has room"))
}

// randomRetryAfter returns the retry-after of a refused caller.
func (rl *Relay) randomRetryAfter() clock.Millis {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	least := rl.minRetryAfter()
	return least + clock.Millis(rl.Rand.Int64N(int64(2*(rl.Settings.RetryAfter-least))+1))
}

// tryPlace asks the engines for a place if it is the request's turn. Other requests go before
// one that only waits for room for its body.
func (rl *Relay) tryPlace(ctx context.Context, ex *exchange, po *pool.Pool, tk *pool.Ticket, until clock.Millis) placeAttempt {
	tr := placeAttempt{bound: usage.BoundBodies}
	if !rl.hasRoomNowhere(ex, po) {
		tr = rl.askForPlace(ctx, ex, po, tk, until)
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if tr.bound != usage.BoundTurn && po.SetAside(tk, tr.bound == usage.BoundBodies) && tr.bound == usage.BoundBodies {
		rl.wakeWaiters()
	}
	return tr
}

// askForPlace asks the engines for a place if it is the request's turn.
func (rl *Relay) askForPlace(ctx context.Context, ex *exchange, po *pool.Pool, tk *pool.Ticket, until clock.Millis) (tr placeAttempt) {
	ch := rl.choose(ctx, ex, po, tk)
	tr.short, tr.before, tr.reply, tr.bound = ch.short, ch.before, ch.outlook, ch.bound
	if len(ch.list) == 0 {
		rl.mu.Lock()
		if po.MarkTried(tk) {
			rl.notifyUsageChanged()
		}
		rl.mu.Unlock()
		return tr
	}
	tr.bound = usage.BoundDeclined
	full := 0 // engines without room for the body
	for ix, bs := range ch.list {
		if ctx.Err() != nil || rl.now() >= until {
			return tr
		}
		if !rl.claimBody(ex, bs.ID) {
			full++
			continue
		}
		if _, ok := rl.ensurePermit(ctx, ex, bs.ID, ex.reserve()); !ok {
			rl.returnClaim(ex, bs.ID)
			continue
		}
		tr.asked++
		if pl, ok := rl.reserveAt(ctx, ex, bs, ch.need); ok {
			pl.chosenBy = ch.chosenBy
			if ix == 0 {
				pl.prefill, pl.doubtful = ch.prefill, ch.doubtful
			}
			tr.place = pl
			return tr
		}
		rl.returnPermit(ex, bs.ID)
		rl.returnClaim(ex, bs.ID)
	}
	if full == len(ch.list) {
		tr.bound = usage.BoundBodies
	}
	return tr
}

// reserveAt reserves a place at an engine.
func (rl *Relay) reserveAt(ctx context.Context, ex *exchange, bs board.BackendServer, nd memoryNeed) (place, bool) {
	// The other VMs are informed before the engine has answered, otherwise some of
	// them would choose the same engine in the meantime.
	pl := rl.takePlace(place{server: bs, service: ex.svc.Name}, nd.run, nd.out)
	began := rl.now()
	id, err := rl.reserve(ctx, ex, bs, nd.reserve)
	rl.observePath(ex, bs.ID, began, err)
	if err == nil {
		pl.reservation = id
		return pl, true
	}
	rl.leavePlace(pl)
	if _, why := backend.OutcomeOf(err); why == backend.Full {
		rl.mu.Lock()
		rl.poolOf(ex.svc.Name).MarkFull(rl.now(), bs.ID, nd.reserve)
		rl.mu.Unlock()
		return place{}, false
	}
	rl.recordFault(ctx, ex, bs.ID, err)
	return place{}, false
}

// spareRequests returns how many further requests a place must leave room for. A
// returning request takes no room that new requests are about to need; but if there
// is more room than that, it need not wait until the shortage ends: of 400 requests
// that were refused twice, 150 were refused while an engine was half empty.
func spareRequests(returning, short bool) int {
	if short && returning {
		return spareWhileShort
	}
	return 0
}

// askedLast reports which engines are asked after all others: those that compute a
// prompt themselves, which delays what starts there, and those that just failed
// another VM. A dead engine looks empty, so all VMs would choose it and each would
// have to find out by itself. The lock is held.
func (rl *Relay) askedLast(now clock.Millis) func(id string) bool {
	return func(id string) bool { return rl.ledger.PromptTokens(now, id) > 0 || rl.ledger.Failing(now, id) }
}

func (rl *Relay) reserve(ctx context.Context, ex *exchange, bs board.BackendServer, tokens int) (string, error) {
	ctx, stop := context.WithTimeout(ctx, reserveTimeout.Std())
	defer stop()
	return rl.Servers.Reserve(ctx, bs, tokens, ex.svc.Engines.MaxReservation)
}

// takePlace counts a run at a place until leavePlace.
func (rl *Relay) takePlace(pl place, run usage.Run, out usage.Output) place {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.countPlace(pl, run, out)
}

// countPlace is takePlace with the lock held.
func (rl *Relay) countPlace(pl place, run usage.Run, out usage.Output) place {
	rl.poolOf(pl.service).AddRun(pl.server.ID)
	run.Engine = pl.server.ID
	pl.entry = rl.ledger.BeginOutput(run, out)
	rl.notifyUsageChanged()
	return pl
}

// leavePlace removes what this VM counts at the place.
func (rl *Relay) leavePlace(pl place) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.uncountPlace(pl)
}

// uncountPlace is leavePlace with the lock held.
func (rl *Relay) uncountPlace(pl place) {
	rl.poolOf(pl.service).EndRun(pl.server.ID)
	rl.ledger.End(pl.entry)
	rl.notifyUsageChanged()
	rl.wakeWaiters()
}

// countLocalPrompt counts a prompt at the engine of a place that computes it, until
// the returned function is called.
func (rl *Relay) countLocalPrompt(pl place, tokens int) (done func()) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.ledger.AddPrompt(pl.server.ID, tokens)
	rl.notifyUsageChanged()
	return sync.OnceFunc(func() {
		rl.mu.Lock()
		defer rl.mu.Unlock()
		rl.ledger.AddPrompt(pl.server.ID, -tokens)
		rl.notifyUsageChanged()
	})
}

// release frees an unused reservation, and the room for the body. The request's own context
// may have ended, so the call uses another one.
func (rl *Relay) release(ex *exchange, pl place) {
	rl.returnClaim(ex, pl.server.ID)
	rl.cleanUp(ex, pl.server, "Release", func(ctx context.Context) error {
		return rl.Servers.Release(ctx, pl.server, pl.reservation)
	})
}

// forget frees the memory of a computed prompt.
func (rl *Relay) forget(ex *exchange, hd Handle) {
	if hd.ID == "" {
		return
	}
	rl.cleanUp(ex, hd.Server, "Forget", func(ctx context.Context) error { return rl.Servers.Forget(ctx, hd) })
}

// cleanUp frees something at a server in the background. The VM does not exit before
// that is done, otherwise the engine would hold it until it expires.
func (rl *Relay) cleanUp(ex *exchange, bs board.BackendServer, what string, call func(ctx context.Context) error) {
	rl.cleanups.Add(1)
	go func() {
		defer rl.cleanups.Add(-1)
		rl.cleanUpNow(ex, bs, what, call)
	}()
}

// cleanUpNow makes the call. A restarted server holds nothing from before, and may
// have given the same ID to something else.
func (rl *Relay) cleanUpNow(ex *exchange, bs board.BackendServer, what string, call func(ctx context.Context) error) {
	if rl.Backends().Restarted(bs) {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cleanupTimeout.Std())
	defer stop()
	if err := call(ctx); err != nil {
		rl.Log.Log(event.RelayNotTidied, event.F("Request", ex.req.ID), event.F("Call", what), event.F("Error", err.Error()))
	}
}
