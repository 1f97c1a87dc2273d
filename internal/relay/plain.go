package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/poison"
	"alderdyke/internal/retry"
	"alderdyke/internal/route"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// plainNeed is the least time in which another attempt at a plain service
	// is of use: two crossings of a failure domain and the usual work.
	plainNeed = 25 * clock.Millis(1)
	// plainCost is what another attempt at a plain service costs the budget.
	plainCost = 1
	// declineTries bounds the attempts that follow servers that declined.
	declineTries = 3
)

// attempt is how one attempt at a plain service ended.
type attempt struct {
	wh   whole
	rest io.Reader
	rsp  *http.Response
	err  error
	end  context.CancelFunc // frees what the attempt holds
}

// close ends what is left of the attempt.
func (at attempt) close() {
	if at.rsp != nil {
		_ = at.rsp.Body.Close() // it was read or is given up
	}
	at.end()
}

// plain carries a request to a plain service.
func (rl *Relay) plain(ctx context.Context, wr http.ResponseWriter, ex *exchange) error {
	for number := 1; ; number++ {
		if err := rl.checkPoison(ctx, ex); err != nil {
			return err
		}
		bs, err := rl.pick(ex)
		if err != nil {
			return rl.endOf(ctx, ex, err)
		}
		at := rl.try(ctx, ex, bs)
		if at.err == nil && !rl.another(ctx, ex, number, at) {
			return rl.passPlain(ctx, wr, ex, at)
		}
		at.close()
		if at.err != nil {
			if err := rl.again(ctx, ex, number, plainCost, at.err, plainNeed); err != nil {
				return err
			}
		}
	}
}

// passPlain sends the answer of a plain service to the caller.
func (rl *Relay) passPlain(ctx context.Context, wr http.ResponseWriter, ex *exchange, at attempt) error {
	defer at.close()
	if ex.rt.Kind == route.Stream {
		rn := rl.newRun(ex, place{service: ex.svc.Name}, decoding{rsp: at.rsp, begun: func() {}, end: func() {}})
		return rl.pass(ctx, wr, ex, rn)
	}
	return writeWhole(wr, at.wh, at.rest)
}

// pick chooses a backend server and counts the request on it.
func (rl *Relay) pick(ex *exchange) (board.BackendServer, error) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	id, err := rl.chooser.Pick(rl.now(), balance.Request{Service: ex.svc.Name, Share: 1, Exclude: ex.tried,
		Sender: ex.named(), Objective: ex.rt.Objective})
	if err != nil {
		if rf, ok := errors.AsType[refusal.Refusal](err); ok {
			return board.BackendServer{}, rf.WithRetryAfter(max(rl.Settings.PlainBack, rl.chooser.BackoffLeft(rl.now(), ex.svc.Name)))
		}
		return board.BackendServer{}, refuse(refusal.NoBackend, rl.Settings.PlainBack, err.Error())
	}
	bs, ok := rl.Backends().Server(id)
	if !ok {
		rl.chooser.Done(rl.now(), id, balance.Outcome{Result: balance.Cancelled})
		return board.BackendServer{}, refuse(refusal.NoBackend, rl.Settings.PlainBack, "the server has just left")
	}
	return bs, nil
}

// try makes one attempt and reads its answer.
func (rl *Relay) try(ctx context.Context, ex *exchange, bs board.BackendServer) (at attempt) {
	began := rl.now()
	ex.tried = append(ex.tried, bs.ID)
	within, end := rl.callTo(ctx, bs)
	at.end = end
	if span := rl.attemptSpan(ex); span > 0 {
		// What is left of a large answer may take longer.
		timer := time.AfterFunc(span.Std(), end)
		defer timer.Stop()
	}
	fields, err := rl.send(ex, callPlain, bs.ID, func() (err error) {
		at.rsp, err = rl.Servers.Send(within, bs, ex.req, Options{Left: rl.left(ex), After: ex.req.After})
		return err
	})
	at.err = err
	if !backend.NotRun(at.err) {
		ex.ran++
	}
	if at.err == nil && ex.rt.Kind != route.Stream {
		at.wh, at.rest, at.err = readWhole(at.rsp)
	} else if at.err == nil {
		at.wh = whole{status: at.rsp.StatusCode}
	}
	took := rl.now() - began
	if poison.MayHaveCrashed(within, at.err) {
		rl.recordBrokenCall(ctx, ex, bs, false, poison.UnknownConcurrent)
	}
	rl.mu.Lock()
	rl.chooser.Done(rl.now(), bs.ID, balance.Outcome{Result: resultOf(ctx, at), Took: took, Load: rl.loadOf(at.rsp)})
	if at.err == nil {
		rl.budget.ObserveLatency(ex.svc.Name, took)
	}
	rl.mu.Unlock()
	rl.Log.Log(event.RelayAttempt, append(fields, event.F("Request", ex.req.ID), event.F("Server", bs.ID),
		event.F("Service", ex.svc.Name), event.F("Took", took.String()), event.F("Status", at.wh.status),
		event.F("Error", text(at.err)))...)
	return at
}

// loadOf is what a server told of itself with an answer; nil: nothing.
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

// attemptSpan bounds one attempt, so that a server that hangs leaves time for
// another; zero bounds it by the request's end alone.
func (rl *Relay) attemptSpan(ex *exchange) clock.Millis {
	span := clock.Millis(rl.Settings.AttemptPart * float64(ex.rt.Objective))
	if !ex.rt.MayRepeat() || ex.ran+1 >= ex.rt.Attempts || span >= rl.left(ex) {
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
	case ctx.Err() != nil && !clock.Overdue(ctx):
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

// another tells whether an idempotent request that the server failed by its
// own word is sent once more.
func (rl *Relay) another(ctx context.Context, ex *exchange, number int, at attempt) bool {
	if at.wh.status < http.StatusInternalServerError || !ex.rt.MayRepeat() || rl.crowded(ex) {
		return false
	}
	failed := backend.InDoubtError{Call: "Send", Status: at.wh.status}
	return rl.again(ctx, ex, number, plainCost, failed, plainNeed) == nil
}

// crowded tells whether requests of the route are being refused for the line before
// the servers, or since all of them rest.
func (rl *Relay) crowded(ex *exchange) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.now()
	return rl.chooser.RefusesForQueue(now, ex.svc.Name, ex.rt.Objective) || rl.chooser.BackoffLeft(now, ex.svc.Name) > 0
}

// again decides what follows a failed attempt: nil is another attempt, whose
// backoff has passed, and an error the end of the request.
func (rl *Relay) again(ctx context.Context, ex *exchange, number int, cost float64, failed error, need clock.Millis) error {
	if ctx.Err() != nil {
		return rl.endOf(ctx, ex, failed)
	}
	if ex.ran >= max(1, ex.rt.Attempts) || number >= declineTries {
		return rl.endOf(ctx, ex, failed) // before the budget is asked, which pays at its word
	}
	ran := refusal.MayHaveRun
	if backend.NotRun(failed) {
		ran = refusal.NotRun
	}
	mayRepeat := ex.rt.MayRepeat() || ex.rt.Resumable
	rl.mu.Lock()
	verdict := rl.budget.Decide(rl.now(), retry.Attempt{
		Service: ex.svc.Name, Idempotent: mayRepeat, Number: number,
		Last:              refusal.Refusal{Ran: ran, Reason: refusal.BackendFailed, Detail: failed.Error()},
		EarlierMayHaveRun: ex.ran > 0, Deadline: ex.until, MinTime: need, Cost: cost,
	})
	ag, ok := verdict.(retry.Retry)
	if ok {
		ex.arrivals.credit += cost
	}
	rl.mu.Unlock()
	if !ok {
		return rl.endOf(ctx, ex, failed)
	}
	rl.Log.Log(event.RelayRetried, event.F("Request", ex.req.ID), event.F("Reason", ag.Reason),
		event.F("Attempt", number+1), event.F("After", ag.After.String()), event.F("Cost", cost))
	rl.count("Retries", map[string]string{"Reason": string(ag.Reason)})
	select {
	case <-time.After(ag.After.Std()):
		return nil
	case <-ctx.Done():
		return rl.endOf(ctx, ex, failed)
	}
}

// endOf is the refusal that a failure ends a request with.
func (rl *Relay) endOf(ctx context.Context, ex *exchange, failed error) error {
	rf, ok := errors.AsType[refusal.Refusal](failed)
	if !ok {
		rf = refuse(refusal.BackendFailed, rl.Settings.PlainBack, text(failed))
	}
	if ex.ran > 0 {
		rf = rf.WithRan(refusal.MayHaveRun).WithRetryAfter(0)
	}
	switch {
	case clock.Overdue(ctx):
		rf.Reason = refusal.DeadlinePassed
		rf = rf.WithRetryAfter(0)
	case ctx.Err() != nil:
		rf.Reason = refusal.CallerGone
	}
	return rf
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
