package relay

import (
	"context"
	"errors"
	"net/http"

	"alderdyke/internal/backend"
	"alderdyke/internal/event"
	"alderdyke/pkg/refusal"
)

// errNotContinuation tells that an engine answered with something else than the rest of
// an answer, such as a failure of its own.
var errNotContinuation = errors.New("the response does not go on with the answer")

// succeeded tells whether a response is an answer to its request, and not the
// server's word that it failed.
func succeeded(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// checkContinuation tells whether a response may go on with the answer of a run. A call
// that ended without an error says only that some response came: joined to the
// events before, another engine's failure would end the answer as a whole one.
func (rn *run) checkContinuation(server string, rsp *http.Response) error {
	if !rn.headerSent || rsp.StatusCode == rn.status {
		return nil // where nothing went out, the response is an answer of its own
	}
	return backend.InDoubtError{Server: server, Call: "Send", Status: rsp.StatusCode, Err: errNotContinuation}
}

// attachResponse begins to read a response. Where the caller has a part of the answer, the
// first event must follow the last one of that part.
func (rn *run) attachResponse(rsp *http.Response) {
	rn.sp.sourceChanged = (rn.headerSent || rn.ex.req.LastEventID != "") && succeeded(statusOf(rsp))
}

// resumable tells whether a new run may go on with what the caller has.
func (rn *run) resumable() bool {
	ex := rn.ex
	if !ex.rt.Resumable || ex.possibleRuns >= ex.rt.Attempts {
		return false
	}
	numbered := rn.sp.last != "" && !rn.sp.unnumbered
	return !rn.headerSent || succeeded(rn.status) && numbered
}

// resumeStream continues a run whose stream broke: from its memory if that was moved,
// or by a new run where the route allows one.
func (rl *Relay) resumeStream(ctx context.Context, rn *run, broke error) error {
	switch {
	case rn.pl.server.ID == "":
		return errors.Join(errStreamBroken, broke) // a plain service's, which has no place
	case errors.Is(broke, errOutOfSequence) && !rn.headerSent:
		return broke // it is the caller's word that does not fit, not this engine's
	}
	rl.mu.Lock()
	rn.broken = true
	moving := rn.moving
	if !moving {
		rl.recordFailure(rl.poolOf(rn.ex.svc.Name), rn.pl.server.ID)
	}
	rl.mu.Unlock()
	if moving {
		if broke = rl.followMove(ctx, rn); broke == nil {
			return nil
		}
	}
	return rl.resumeElsewhere(ctx, rn, broke)
}

// followMove goes on where a run was moved to.
func (rl *Relay) followMove(ctx context.Context, rn *run) error {
	mv, err := rn.awaitMove(ctx)
	if err != nil {
		return err
	}
	rl.mu.Lock()
	rn.moving, rn.moveResult = false, nil
	rl.mu.Unlock()
	if mv.err != nil {
		return mv.err
	}
	return rl.continueAt(ctx, rn, mv)
}

// continueAt reads a moved run on at its new engine.
func (rl *Relay) continueAt(ctx context.Context, rn *run, mv movedRun) error {
	var rsp *http.Response
	end := func() {}
	fields, err := rl.callWithinBudget(rn.ex, callMoved, mv.target.ID, func() (err error) {
		rsp, end, err = rl.openMovedRun(ctx, rn, mv)
		return err
	})
	rl.Log.Log(event.RelayMoved, append(fields, event.F("Request", rn.ex.req.ID), event.F("From", rn.pl.server.ID),
		event.F("To", mv.target.ID), event.F("Last", rn.sp.last), event.F("Status", statusOf(rsp)), event.F("Error", errorText(err)))...)
	if err != nil {
		end()
		rl.forget(rn.ex, mv.src)
		return err
	}
	// The copy has its room already, so this place needed no reservation.
	pl := place{server: mv.target, service: rn.pl.service}
	rl.switchPlace(rn, rl.takePlace(pl, rn.pl.entry.Run()), decoding{rsp: rsp, promptDone: func() {}, end: end})
	return nil
}

// openMovedRun asks the new engine of a moved run for the rest of its answer. After
// an error there is nothing to be read; the call is to be ended in any case.
func (rl *Relay) openMovedRun(ctx context.Context, rn *run, mv movedRun) (rsp *http.Response, end func(), err error) {
	within, end := rl.beginCall(ctx, mv.target)
	if bk := rl.Backends(); bk.Restarted(mv.target) || bk.Restarted(mv.src.Server) {
		return nil, end, backend.NotSentError{Server: mv.target.ID, Call: "Send", Err: errServerRestarted}
	}
	rsp, err = rl.Servers.Send(within, mv.target, rn.ex.req, Options{TimeLeft: rl.timeLeft(rn.ex), Source: mv.src, LastEventID: rn.sp.last})
	if err != nil {
		return nil, end, err
	}
	if err = rn.checkContinuation(mv.target.ID, rsp); err != nil {
		_ = rsp.Body.Close() // nothing of it is used
		rl.recordFault(ctx, rn.ex, mv.target.ID, err)
	}
	return rsp, end, err
}

// resumeElsewhere goes on behind the last event that the caller has with a new run, and
// with another one where that fails, for as long as the route and the budget allow:
// an engine that ends breaks off all its runs at once, and each of them that goes on
// is one more arrival at those that are left.
func (rl *Relay) resumeElsewhere(ctx context.Context, rn *run, broke error) error {
	for rn.resumable() {
		if err := rl.awaitRetry(ctx, rn.ex, max(1, rn.resumeAttempts), generationRetryCost, broke, minGenerationRetryTime); err != nil {
			return errors.Join(err, broke)
		}
		rn.resumeAttempts++
		if broke = rl.resumeOnce(ctx, rn); broke == nil {
			return nil
		}
		if _, refused := errors.AsType[refusal.Refusal](broke); refused {
			return broke
		}
	}
	return errors.Join(errStreamBroken, broke)
}

// resumeOnce begins one new run. The error is a refusal if no engine has room.
func (rl *Relay) resumeOnce(ctx context.Context, rn *run) error {
	if err := rl.checkPoison(ctx, rn.ex); err != nil {
		return err
	}
	pl, err := rl.findPlace(ctx, rn.ex)
	if err != nil {
		return err
	}
	hd, dec, err := rl.startDecode(ctx, rn.ex, pl, rn.sp.last)
	if err == nil {
		if err = rn.checkContinuation(pl.server.ID, dec.rsp); err != nil {
			dec.close()
			rl.forget(rn.ex, hd)
			rl.recordFault(ctx, rn.ex, pl.server.ID, err)
		}
	}
	rl.Log.Log(event.RelayResumed, event.F("Request", rn.ex.req.ID), event.F("Server", pl.server.ID),
		event.F("Last", rn.sp.last), event.F("Status", statusOf(dec.rsp)), event.F("Error", errorText(err)))
	if err != nil {
		rl.leavePlace(pl)
		return err
	}
	rl.switchPlace(rn, pl, dec)
	return nil
}

// switchPlace lets the run be at another place from now on.
func (rl *Relay) switchPlace(rn *run, pl place, dec decoding) {
	rn.close()
	rl.leavePlace(rn.pl)
	rn.attachResponse(dec.rsp)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rn.pl, rn.decoding = pl, dec
	rn.broken, rn.moving, rn.stopping = false, false, false
	rn.moved = make(chan movedRun, 1)
}
