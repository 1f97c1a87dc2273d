package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/memory"
	"alderdyke/internal/poison"
	"alderdyke/internal/retry"
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// minPlainRetryTime is the least time in which another attempt at a plain service
	// is useful: two network hops between failure domains and the usual processing
	// time.
	minPlainRetryTime = 25 * clock.Millis(1)
	// plainRetryCost is what another attempt at a plain service costs the budget.
	plainRetryCost = 1
	// maxDeclinedAttempts limits the attempts at one request: servers that decline it
	// do not count against the route's own limit.
	maxDeclinedAttempts = 3
)

// attempt is the result of one attempt at a plain service.
type attempt struct {
	server board.BackendServer
	memory *memory.Holding // accounts wh
	wh     bufferedAnswer  // the part of the answer that was read
	rest   io.Reader       // the part that was not read; nil if there is none
	rsp    *http.Response  // nil if no response came
	err    error
	end    context.CancelFunc // releases what the attempt holds
	settle func(err error)    // reports how the attempt ended, on its first call only; nil error: as err says
}

// close releases what is left of the attempt.
func (at attempt) close() {
	if at.rsp != nil {
		_ = at.rsp.Body.Close() // it was read to its end or is abandoned
	}
	at.memory.Release(int64(cap(at.wh.body)))
	at.end()
	at.settle(nil)
}

// servePlain serves a request to a plain service.
func (rl *Relay) servePlain(ctx context.Context, wr http.ResponseWriter, ex *exchange) error {
	for number := 1; ; number++ {
		if err := rl.checkPoison(ctx, ex); err != nil {
			return err
		}
		bs, err := rl.pickServer(ctx, ex)
		if err != nil {
			return rl.finalRefusal(ctx, ex, err)
		}
		rl.bindVersion(ex, bs)
		at := rl.attemptAt(ctx, ex, bs)
		if at.err == nil && !rl.awaitPlainRetry(ctx, ex, number, at) {
			return rl.sendPlainAnswer(ctx, wr, ex, at)
		}
		at.close()
		if mayGoElsewhere(at.err) && number < maxDeclinedAttempts {
			continue
		}
		if at.err != nil {
			if err := rl.awaitRetry(ctx, ex, number, plainRetryCost, at.err, minPlainRetryTime); err != nil {
				return err
			}
		}
	}
}

// sendPlainAnswer sends the answer of a plain service to the caller.
func (rl *Relay) sendPlainAnswer(ctx context.Context, wr http.ResponseWriter, ex *exchange, at attempt) error {
	defer at.close()
	if ex.rt.Kind == route.Stream {
		rn := rl.newRun(ex, place{service: ex.svc.Name}, decoding{rsp: at.rsp, server: at.server, promptDone: func() {}, end: func() {}})
		return rl.deliver(ctx, wr, ex, rn)
	}
	if err := writeBuffered(wr, at.wh); err != nil || at.rest == nil {
		return err
	}
	rr := rl.copyRest(wr, at.rest)
	switch {
	case rr.errWrite != nil:
		return wrapCut(rr.errWrite)
	case rr.errRead != nil:
		if !clock.Overdue(ctx) || rr.longestWrite < slowWrite {
			at.settle(rr.errRead)
		}
		return wrapCut(rr.errRead)
	}
	if err := rl.checkEnd(ctx, at.server, at.rsp); err != nil {
		at.settle(err)
		return wrapCut(err)
	}
	return nil
}

// pick chooses a backend server, which is none of those that denied a permit, and counts
// the request there.
func (rl *Relay) pick(ex *exchange, denied []string) (board.BackendServer, error) {
	if !rl.hasPlainServer(ex) {
		return board.BackendServer{}, rl.versionGone(ex)
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	id, err := rl.chooser.Pick(rl.now(), ex.serverRequest(denied))
	if err != nil {
		if rf, ok := errors.AsType[refusal.Refusal](err); ok {
			return board.BackendServer{}, rf.WithRetryAfter(max(rl.Settings.PlainRetryAfter, rl.chooser.BackoffLeft(rl.now(), ex.svc.Name)))
		}
		return board.BackendServer{}, refuse(refusal.NoBackend, rl.Settings.PlainRetryAfter, err.Error())
	}
	bs, ok := rl.Backends().Server(id)
	if !ok {
		rl.chooser.Done(rl.now(), id, balance.Outcome{Result: balance.Cancelled})
		return board.BackendServer{}, refuse(refusal.NoBackend, rl.Settings.PlainRetryAfter, "the server has just left")
	}
	return bs, nil
}

// serverRequest returns what the request needs of a plain server.
func (ex *exchange) serverRequest(denied []string) balance.Request {
	return balance.Request{Service: ex.svc.Name, Share: 1, Exclude: ex.tried, Unavailable: denied, Version: ex.version,
		Sender: ex.configuredCustomer(), Objective: ex.rt.Objective,
		Preferred: ex.allocated.Server, ExpectedWait: ex.allocated.Wait}
}

// attemptAt makes one attempt and reads its answer.
func (rl *Relay) attemptAt(ctx context.Context, ex *exchange, bs board.BackendServer) (at attempt) {
	began := rl.now()
	at.server, at.memory = bs, ex.req.Memory
	ex.tried = append(ex.tried, bs.ID)
	within, end := rl.beginCall(ctx, ex, bs)
	at.end = end
	if span := rl.attemptTimeout(ex); span > 0 {
		// The rest of a large answer may take longer.
		timer := time.AfterFunc(span.Std(), end)
		defer timer.Stop()
	}
	fields, err := rl.callWithinBudget(ctx, ex, callPlain, bs.ID, func() (err error) {
		at.rsp, err = rl.Servers.Send(within, bs, ex.req, Options{TimeLeft: rl.timeLeft(ex), LastEventID: ex.req.LastEventID})
		return err
	})
	at.err = err
	if !backend.NotRun(at.err) {
		ex.possibleRuns++
	}
	if at.err == nil && ex.rt.Kind != route.Stream {
		at.wh, at.rest, at.err = rl.bufferAnswer(ex.req.Memory, at.rsp)
		if at.err == nil && at.rest == nil {
			at.err = rl.checkEnd(within, bs, at.rsp)
		}
	} else if at.err == nil {
		at.wh = bufferedAnswer{status: at.rsp.StatusCode}
	}
	took := rl.now() - began
	if poison.MayHaveCrashed(within, at.err) {
		rl.recordBrokenCall(ctx, ex, bs, false, poison.UnknownConcurrent)
	}
	at.settle = rl.newSettle(ctx, ex, at, took)
	if at.rest == nil {
		at.settle(nil)
	}
	if at.err == nil && at.rest == nil && ex.rt.Kind != route.Stream {
		end() // the server is done with the request, however slowly the caller reads
	}
	if at.err == nil {
		rl.mu.Lock()
		rl.budget.ObserveLatency(ex.svc.Name, took)
		rl.mu.Unlock()
	}
	if at.rsp != nil {
		fields = append(fields, event.F("Framing", framingOf(at.rsp)))
	}
	rl.Log.Log(event.RelayAttempt, append(fields, event.F("Request", ex.req.ID), event.F("Server", bs.ID), event.F("Version", bs.Version),
		event.F("Service", ex.svc.Name), event.F("After", ex.req.LastEventID), event.F("Resumes", ex.req.Resumes), event.F("Took", took.String()), event.F("Status", at.wh.status),
		event.F("Error", errorText(at.err)))...)
	return at
}

// newSettle returns the function that reports the end of an attempt to the chooser, and to
// the VMs that choose for all. An answer that is not read to its end yet may still break.
func (rl *Relay) newSettle(ctx context.Context, ex *exchange, at attempt, took clock.Millis) func(err error) {
	var once sync.Once
	return func(err error) {
		once.Do(func() {
			if err != nil {
				at.err = err
			}
			out := balance.Outcome{Result: resultOf(ctx, at), Took: took, Load: rl.loadOf(at.rsp)}
			rl.mu.Lock()
			rl.chooser.Done(rl.now(), at.server.ID, out)
			rl.mu.Unlock()
			rl.reportServerEnd(ex, at.server, out)
		})
	}
}

// loadOf returns the load that a server reported with an answer; nil: none.
func (rl *Relay) loadOf(rsp *http.Response) *balance.Load {
	if rsp == nil {
		return nil
	}
	ld, ok := rl.Servers.Load(rsp)
	if !ok {
		return nil
	}
	return &ld
}

// attemptTimeout returns the limit for one attempt, so that a server that hangs
// leaves time for another attempt; zero: only the request's deadline applies.
func (rl *Relay) attemptTimeout(ex *exchange) clock.Millis {
	span := clock.Millis(rl.Settings.AttemptFraction * float64(ex.rt.Objective))
	if !ex.rt.IsRepeatable() || ex.possibleRuns+1 >= ex.rt.MaxAttempts || span >= rl.timeLeft(ex) {
		return 0
	}
	return span
}

func resultOf(ctx context.Context, at attempt) balance.Result {
	oc, why := backend.OutcomeOf(at.err)
	switch {
	case at.err == nil && at.wh.status < http.StatusInternalServerError:
		return balance.Success
	case at.err == nil:
		return balance.Failure
	case ctx.Err() != nil && !clock.Overdue(ctx), isWithheld(at.err):
		return balance.Cancelled
	case oc == backend.Declined && why == backend.Full:
		return balance.Busy
	case oc == backend.Declined && why == backend.Unknown:
		return balance.Gone
	case clock.Overdue(ctx) || errors.Is(at.err, context.DeadlineExceeded):
		return balance.Timeout
	default:
		return balance.Failure
	}
}

// awaitPlainRetry reports whether an idempotent request that the server answered with
// a failure is sent again, and waits for the backoff if so. It is not sent again while
// the servers are overloaded or backing off.
func (rl *Relay) awaitPlainRetry(ctx context.Context, ex *exchange, number int, at attempt) bool {
	if at.wh.status < http.StatusInternalServerError || !ex.rt.IsRepeatable() || rl.crowded(ex) {
		return false
	}
	failed := backend.InDoubtError{Call: "Send", Status: at.wh.status}
	return rl.awaitRetry(ctx, ex, number, plainRetryCost, failed, minPlainRetryTime) == nil
}

// crowded reports whether requests of the route are being refused because of a long
// queue at the servers, or because all servers are backing off.
func (rl *Relay) crowded(ex *exchange) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	return rl.chooser.RefusesForQueue(now, ex.svc.Name, ex.rt.Objective) || rl.chooser.BackoffLeft(now, ex.svc.Name) > 0
}

// awaitRetry decides what follows a failed attempt: nil means another attempt, whose
// backoff has passed; an error ends the request.
func (rl *Relay) awaitRetry(ctx context.Context, ex *exchange, number int, cost float64, failed error, need clock.Millis) error {
	if _, refused := errors.AsType[refusal.Refusal](failed); refused || ctx.Err() != nil {
		return rl.finalRefusal(ctx, ex, failed)
	}
	if ex.possibleRuns >= max(1, ex.rt.MaxAttempts) || number >= maxDeclinedAttempts || rl.isPartitioned(ex.svc.Name) {
		return rl.finalRefusal(ctx, ex, failed) // checked before the budget, which charges as soon as it permits a retry
	}
	ran := refusal.MayHaveRun
	if backend.NotRun(failed) {
		ran = refusal.NotRun
	}
	mayRepeat := ex.rt.IsRepeatable() || ex.rt.Resumable
	rl.mu.Lock()
	verdict := rl.budget.Decide(rl.now(), retry.Attempt{
		Service: ex.svc.Name, Idempotent: mayRepeat, Number: number,
		Last:              refusal.Refusal{Ran: ran, Reason: refusal.BackendFailed, Detail: failed.Error()},
		EarlierMayHaveRun: ex.possibleRuns > 0, Deadline: ex.deadline, MinTime: need, Cost: cost,
	})
	ag, ok := verdict.(retry.Retry)
	if ok {
		ex.arrivals.credit += cost
	}
	rl.mu.Unlock()
	if !ok {
		return rl.finalRefusal(ctx, ex, failed)
	}
	rl.Log.Log(event.RelayRetried, event.F("Request", ex.req.ID), event.F("Reason", ag.Reason),
		event.F("Attempt", number+1), event.F("After", ag.After.String()), event.F("Cost", cost))
	rl.count("Retries", map[string]string{"Reason": string(ag.Reason)})
	select {
	case <-time.After(ag.After.Std()):
		return nil
	case <-ctx.Done():
		return rl.finalRefusal(ctx, ex, failed)
	}
}

// finalRefusal returns the refusal with which a failure ends a request.
func (rl *Relay) finalRefusal(ctx context.Context, ex *exchange, failed error) error {
	rf, ok := errors.AsType[refusal.Refusal](failed)
	if !ok {
		rf = refuse(refusal.BackendFailed, rl.Settings.PlainRetryAfter, errorText(failed))
	}
	if ex.possibleRuns > 0 {
		rf = rf.WithRan(refusal.MayHaveRun).WithRetryAfter(0)
	}
	switch {
	case clock.Overdue(ctx):
		rf.Reason = refusal.DeadlinePassed
		rf = rf.WithRetryAfter(0)
	case errors.Is(context.Cause(ctx), errExiting):
		rf.Reason = refusal.Draining
		if rf.Ran == refusal.NotRun {
			rf = rf.WithRetryAfter(rl.Settings.StopRetryAfter)
		}
	case ctx.Err() != nil:
		rf.Reason = refusal.CallerGone
	}
	return rf
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
