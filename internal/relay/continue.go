package relay

import (
	"context"
	"errors"
	"net/http"

	"alderdyke/internal/backend"
	"alderdyke/internal/event"
	"alderdyke/pkg/refusal"
)

// errNotRest tells that an engine answered with something else than the rest of
// an answer, such as a failure of its own.
var errNotRest = errors.New("the response does not go on with the answer")

// succeeded tells whether a response is an answer to its request, and not the
// server's word that it failed.
func succeeded(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// restOf tells whether a response may go on with the answer of a run. A call
// that ended without an error says only that some response came: joined to the
// events before, another engine's failure would end the answer as a whole one.
func (rn *run) restOf(server string, rsp *http.Response) error {
	if !rn.began || rsp.StatusCode == rn.status {
		return nil // where nothing went out, the response is an answer of its own
	}
	return backend.InDoubtError{Server: server, Call: "Send", Status: rsp.StatusCode, Err: errNotRest}
}

// join begins to read a response. Where the caller has a part of the answer, the
// first event must follow the last one of that part.
func (rn *run) join(rsp *http.Response) {
	rn.sp.joint = (rn.began || rn.ex.req.After != "") && succeeded(statusOf(rsp))
}

// resumable tells whether a new run may go on with what the caller has.
func (rn *run) resumable() bool {
	ex := rn.ex
	if !ex.rt.Resumable || ex.ran >= ex.rt.Attempts {
		return false
	}
	numbered := rn.sp.last != "" && !rn.sp.unnumbered
	return !rn.began || succeeded(rn.status) && numbered
}

// resumeStream continues a run whose stream broke: from its memory if that was moved,
// or by a new run where the route allows one.
func (rl *Relay) resumeStream(ctx context.Context, rn *run, broke error) error {
	switch {
	case rn.pl.server.ID == "":
		return errors.Join(errNoEvents, broke) // a plain service's, which has no place
	case errors.Is(broke, errNotNext) && !rn.began:
		return broke // it is the caller's word that does not fit, not this engine's
	}
	rl.mu.Lock()
	rn.broken = true
	moving := rn.moving
	if !moving {
		rl.failed(rl.poolOf(rn.ex.svc.Name), rn.pl.server.ID)
	}
	rl.mu.Unlock()
	if moving {
		if broke = rl.followMove(ctx, rn); broke == nil {
			return nil
		}
	}
	return rl.resume(ctx, rn, broke)
}

// followMove goes on where a run was moved to.
func (rl *Relay) followMove(ctx context.Context, rn *run) error {
	mv, err := rn.awaitMove(ctx)
	if err != nil {
		return err
	}
	rl.mu.Lock()
	rn.moving, rn.settled = false, nil
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
	fields, err := rl.send(rn.ex, callMoved, mv.at.ID, func() (err error) {
		rsp, end, err = rl.readMoved(ctx, rn, mv)
		return err
	})
	rl.Log.Log(event.RelayMoved, append(fields, event.F("Request", rn.ex.req.ID), event.F("From", rn.pl.server.ID),
		event.F("To", mv.at.ID), event.F("Last", rn.sp.last), event.F("Status", statusOf(rsp)), event.F("Error", text(err)))...)
	if err != nil {
		end()
		rl.forget(rn.ex, mv.src)
		return err
	}
	// The copy has its room already, so this place needed no reservation.
	pl := place{server: mv.at, service: rn.pl.service}
	rl.swap(rn, rl.takePlace(pl, rn.pl.entry.Run()), decoding{rsp: rsp, begun: func() {}, end: end})
	return nil
}

// readMoved asks the new engine of a moved run for the rest of its answer. After
// an error there is nothing to be read; the call is to be ended in any case.
func (rl *Relay) readMoved(ctx context.Context, rn *run, mv movedRun) (rsp *http.Response, end func(), err error) {
	within, end := rl.callTo(ctx, mv.at)
	if bk := rl.Backends(); bk.Restarted(mv.at) || bk.Restarted(mv.src.Server) {
		return nil, end, backend.NotSentError{Server: mv.at.ID, Call: "Send", Err: errReborn}
	}
	rsp, err = rl.Servers.Send(within, mv.at, rn.ex.req, Options{Left: rl.left(rn.ex), Source: mv.src, After: rn.sp.last})
	if err != nil {
		return nil, end, err
	}
	if err = rn.restOf(mv.at.ID, rsp); err != nil {
		_ = rsp.Body.Close() // nothing of it is used
		rl.fault(ctx, rn.ex, mv.at.ID, err)
	}
	return rsp, end, err
}

// resume goes on behind the last event that the caller has with a new run, and
// with another one where that fails, for as long as the route and the budget allow:
// an engine that ends breaks off all its runs at once, and each of them that goes on
// is one more arrival at those that are left.
func (rl *Relay) resume(ctx context.Context, rn *run, broke error) error {
	for rn.resumable() {
		if err := rl.again(ctx, rn.ex, max(1, rn.tries), generateCost, broke, generateNeed); err != nil {
			return errors.Join(err, broke)
		}
		rn.tries++
		if broke = rl.resumeOnce(ctx, rn); broke == nil {
			return nil
		}
		if _, refused := errors.AsType[refusal.Refusal](broke); refused {
			return broke
		}
	}
	return errors.Join(errNoEvents, broke)
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
		if err = rn.restOf(pl.server.ID, dec.rsp); err != nil {
			dec.close()
			rl.forget(rn.ex, hd)
			rl.fault(ctx, rn.ex, pl.server.ID, err)
		}
	}
	rl.Log.Log(event.RelayResumed, event.F("Request", rn.ex.req.ID), event.F("Server", pl.server.ID),
		event.F("Last", rn.sp.last), event.F("Status", statusOf(dec.rsp)), event.F("Error", text(err)))
	if err != nil {
		rl.leavePlace(pl)
		return err
	}
	rl.swap(rn, pl, dec)
	return nil
}

// swap lets the run be at another place from now on.
func (rl *Relay) swap(rn *run, pl place, dec decoding) {
	rn.close()
	rl.leavePlace(rn.pl)
	rn.join(dec.rsp)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rn.pl, rn.decoding = pl, dec
	rn.broken, rn.moving, rn.stopping = false, false, false
	rn.moved = make(chan movedRun, 1)
}
