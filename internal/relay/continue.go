package relay

import (
	"context"
	"errors"
	"net/http"

	"alderdyke/internal/backend"
	"alderdyke/internal/event"
	"alderdyke/pkg/refusal"
)

// errNotContinuation reports that an engine's response does not continue the answer,
// for example because the engine failed.
var errNotContinuation = errors.New("the response does not go on with the answer")

// succeeded reports whether a response is an answer to its request, and not the
// server's failure.
func succeeded(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// checkContinuation returns an error if a response can't continue the answer of a
// run. A call without an error means only that some response came: another engine's
// failure, appended to the earlier events, would make the answer look complete.
func (rn *run) checkContinuation(server string, rsp *http.Response) error {
	if !rn.headerSent || rsp.StatusCode == rn.status {
		return nil // nothing was sent yet, so the response is an answer of its own
	}
	return backend.InDoubtError{Server: server, Call: "Send", Status: rsp.StatusCode, Err: errNotContinuation}
}

// attachResponse prepares to read a response. If the caller already has a part of the
// answer, the first event must follow the last event of that part.
func (rn *run) attachResponse(rsp *http.Response) {
	rn.sp.sourceChanged = (rn.headerSent || rn.ex.req.LastEventID != "") && succeeded(statusOf(rsp))
}

// resumable reports whether a new run may continue what the caller has.
func (rn *run) resumable() bool {
	ex := rn.ex
	if !ex.rt.Resumable || ex.possibleRuns >= ex.rt.MaxAttempts {
		return false
	}
	numbered := rn.sp.last != "" && !rn.sp.unnumbered
	return !rn.headerSent || succeeded(rn.status) && numbered
}

// resumeStream continues a run whose stream broke: from its memory if the run was
// moved, or by a new run if the route allows one.
func (rl *Relay) resumeStream(ctx context.Context, rn *run, broke error) error {
	switch {
	case rn.pl.server.ID == "":
		return errors.Join(errStreamBroken, broke) // a stream of a plain service, which has no place
	case rn.sp.partial:
		return errors.Join(errStreamBroken, broke) // nothing can follow a part of an event
	case errors.Is(broke, errOutOfSequence) && !rn.headerSent:
		return broke // the caller's last event ID does not fit; the engine is not at fault
	}
	rl.mu.Lock()
	if errors.Is(broke, errAnswerTooLong) {
		rl.recordFailure(rl.poolOf(rn.ex.svc.Name), rn.pl.server.ID)
		rl.mu.Unlock()
		return broke // the caller has all that it asked for, and nothing can follow
	}
	rn.broken = true
	mo := rn.move
	switch {
	case mo == nil:
		rl.recordFailure(rl.poolOf(rn.ex.svc.Name), rn.pl.server.ID)
	case mo.reason == moveFull && !mo.stopping:
		mo.cancel() // the stream did not break for the move, and there is nothing to copy
	}
	rl.mu.Unlock()
	if mo != nil {
		if broke = rl.followMove(ctx, rn, mo); broke == nil {
			return nil
		}
	}
	return rl.resumeElsewhere(ctx, rn, broke)
}

// followMove continues a run at the engine that it was moved to.
func (rl *Relay) followMove(ctx context.Context, rn *run, mo *runMove) error {
	mv, err := mo.await(ctx)
	if err != nil {
		return err
	}
	rl.mu.Lock()
	rn.move = nil
	if mo.reason == moveFull && mv.brokeOff(ctx) {
		rl.recordFailure(rl.poolOf(rn.ex.svc.Name), rn.pl.server.ID)
	}
	rl.mu.Unlock()
	if mv.err != nil {
		return mv.err
	}
	return rl.continueAt(ctx, rn, mo)
}

// continueAt continues reading a moved run at its new engine.
func (rl *Relay) continueAt(ctx context.Context, rn *run, mo *runMove) error {
	mv := mo.result
	defer func() {
		rl.mu.Lock()
		defer rl.mu.Unlock()
		rl.leaveTarget(mo)
	}()
	var rsp *http.Response
	end := func() {}
	fields, err := rl.callWithinBudget(ctx, rn.ex, callMoved, mv.target.ID, func() (err error) {
		rsp, end, err = rl.openMovedRun(ctx, rn, mv)
		return err
	})
	rl.Log.Log(event.RelayMoved, append(fields, event.F("Request", rn.ex.req.ID), event.F("From", rn.pl.server.ID),
		event.F("FromVersion", rn.pl.server.Version), event.F("To", mv.target.ID), event.F("Version", mv.target.Version), event.F("Reason", string(mo.reason)), event.F("Last", rn.sp.last), event.F("Status", statusOf(rsp)), event.F("Error", errorText(err)))...)
	rl.countMove(mo.reason, mo.continued(err))
	if err != nil {
		end()
		rl.forget(rn.ex, mv.source)
		return err
	}
	// The copy already has its memory, so this place needed no reservation.
	pl := place{server: mv.target, service: rn.pl.service}
	rl.switchPlace(rn, rl.takePlace(pl, rn.pl.entry.Run(), rn.pl.entry.Output()), decoding{rsp: rsp, server: mv.target, promptDone: func() {}, end: end})
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rn.moves++
	if mo.reason == moveFull || mv.target.ID != mo.from.server.ID {
		// Its engine may have begun to leave during the move. One that could not move from a
		// leaving engine stays there, as each try pauses its stream.
		rl.moveIfLeaving(rn, rl.Backends())
	}
	return nil
}

// continued returns the outcome of a move whose run was to continue at its new engine, or at
// its own one if that has kept its memory because the other one had no room.
func (mo *runMove) continued(err error) string {
	switch {
	case err != nil:
		return moveFailed
	case mo.result.target.ID == mo.from.server.ID:
		return moveDeclined
	default:
		return moveDone
	}
}

// openMovedRun requests the rest of a moved run's answer from its new engine. After
// an error there is no response to read, but end must be called in any case.
func (rl *Relay) openMovedRun(ctx context.Context, rn *run, mv movedRun) (rsp *http.Response, end func(), err error) {
	within, end := rl.beginCall(ctx, rn.ex, mv.target)
	if bk := rl.Backends(); bk.Restarted(mv.target) || bk.Restarted(mv.source.Server) {
		return nil, end, backend.NotSentError{Server: mv.target.ID, Call: "Send", Err: errServerRestarted}
	}
	rsp, err = rl.Servers.Send(within, mv.target, rn.ex.req, Options{TimeLeft: rl.timeLeft(rn.ex), Source: mv.source, LastEventID: rn.sp.last})
	if err != nil {
		return nil, end, err
	}
	if err = rn.checkContinuation(mv.target.ID, rsp); err != nil {
		_ = rsp.Body.Close() // none of it is used
		rl.recordFault(ctx, rn.ex, mv.target.ID, err)
	}
	return rsp, end, err
}

// resumeElsewhere continues after the last event that the caller has with a new run,
// and with further ones if that fails, for as long as the route and the budget allow.
// An engine that ends breaks all its runs at once, and each run that continues is one
// more arrival at the remaining engines.
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

// resumeOnce starts one new run. The error is a refusal if no engine has room.
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
	rl.Log.Log(event.RelayResumed, event.F("Request", rn.ex.req.ID), event.F("Server", pl.server.ID), event.F("Version", pl.server.Version),
		event.F("Last", rn.sp.last), event.F("Status", statusOf(dec.rsp)), event.F("Error", errorText(err)))
	if err != nil {
		rl.leavePlace(pl)
		return err
	}
	rl.switchPlace(rn, pl, dec)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.moveIfNoticed(rn)
	return nil
}

// switchPlace moves a run to another place and response.
func (rl *Relay) switchPlace(rn *run, pl place, dec decoding) {
	rn.close()
	rl.leavePlace(rn.pl)
	rn.attachResponse(dec.rsp)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rn.pl, rn.decoding = pl, dec
	rn.broken, rn.move, rn.movable = false, nil, false
}
