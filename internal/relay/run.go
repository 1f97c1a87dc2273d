package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Causes for which the answer of a run breaks off.
var (
	errNoEvents = errors.New("the stream broke off")
	errCaller   = errors.New("the caller does not read on")
)

// run is a generation at its decode engine.
type run struct {
	ex *exchange
	pl place
	decoding
	sp      splitter
	tries   int          // new runs that were to go on with it
	settled *movedRun    // what the move came to, if that was asked for
	began   bool         // the head of the answer went to the caller
	status  int          // of that head
	heard   clock.Millis // when the engine was last heard of
	made    int          // tokens that came

	// Guarded by Relay.mu.
	broken   bool          // its stream broke off; it is not moved any more
	moving   bool          // a move was begun, and what it came to was not used
	stopping bool          // the move may have stopped it
	moved    chan movedRun // holds what a move came to, if moving
}

func (rl *Relay) newRun(ex *exchange, pl place, dec decoding) *run {
	rn := &run{ex: ex, pl: pl, decoding: dec, heard: rl.now(), moved: make(chan movedRun, 1)}
	rn.sp.last = ex.req.After
	rn.join(dec.rsp)
	rl.mu.Lock()
	rl.runs[rn] = struct{}{}
	rl.mu.Unlock()
	return rn
}

// endRun ends what is left of a run.
func (rl *Relay) endRun(rn *run) {
	rn.close()
	rl.mu.Lock()
	delete(rl.runs, rn)
	moving := rn.moving
	rl.mu.Unlock()
	rl.leavePlace(rn.pl)
	if moving {
		go rl.forgetMove(rn)
	}
}

// pass sends the answer of a run to the caller, event by event, and goes on
// with it elsewhere when its engine breaks off or leaves.
func (rl *Relay) pass(ctx context.Context, wr http.ResponseWriter, ex *exchange, rn *run) error {
	defer rl.endRun(rn)
	for {
		err := rl.copyEvents(ctx, wr, rn)
		if err == nil {
			rl.learn(rn)
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errCaller) {
			rl.Log.Log(event.RelayCallerGone, event.F("Request", ex.req.ID), event.F("Server", rn.pl.server.ID),
				event.F("Last", rn.sp.last), event.F("Silent", (rl.now()-rn.heard).String()))
			return rl.endOfRun(ctx, rn.began, err)
		}
		rn.sp.drop()
		rl.noteRunBroke(ctx, rn, err)
		if errNext := rl.resumeStream(ctx, rn, err); errNext != nil {
			rl.Log.Log(event.RelayRunLost, event.F("Request", ex.req.ID), event.F("Server", rn.pl.server.ID),
				event.F("Last", rn.sp.last), event.F("Error", errNext.Error()))
			return rl.endOfRun(ctx, rn.began, errNext)
		}
	}
}

// noteRunBroke notes that the stream of a run broke off, unless it was stopped to
// be moved or the engine sent something else.
func (rl *Relay) noteRunBroke(ctx context.Context, rn *run, err error) {
	rl.mu.Lock()
	stopping := rn.stopping
	rl.mu.Unlock()
	if stopping || rn.pl.server.ID == "" || errors.Is(err, errNotNext) || errors.Is(err, errStopped) {
		return
	}
	rl.recordBrokenCall(ctx, rn.ex, rn.pl.server, rn.events > 0, rl.besides(rn.pl.server.ID))
}

// copyEvents passes events on until the stream ends. Only whole events go
// out, and the head goes out with the first of them.
func (rl *Relay) copyEvents(ctx context.Context, wr http.ResponseWriter, rn *run) error {
	buf := make([]byte, copyBytes)
	for {
		size, err := rn.rsp.Body.Read(buf)
		if size > 0 {
			rn.heard = rl.now()
		}
		out, errJoint := rn.sp.add(buf[:size])
		if errJoint != nil {
			return errJoint
		}
		if errSend := rl.sendEvents(wr, rn, out); errSend != nil {
			return errSend
		}
		switch {
		case errors.Is(err, io.EOF):
			return rl.endEvents(ctx, wr, rn)
		case err != nil:
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
	}
}

// sendEvents sends what came, if anything did.
func (rl *Relay) sendEvents(wr http.ResponseWriter, rn *run, out []byte) error {
	if len(out) == 0 {
		return nil
	}
	events := bytes.Count(out, []byte("\n\n"))
	rn.events += events
	rn.ex.noteEvents(rl.now(), events, rn.sp.last)
	rl.grew(rn, events)
	rn.begun()
	if !rn.began {
		rn.ex.first = max(1, rl.now()-rn.ex.req.Came)
		rl.learnBegin(rn)
	}
	return rn.write(wr, out)
}

// endEvents ends an answer whose stream ended in order.
func (rl *Relay) endEvents(ctx context.Context, wr http.ResponseWriter, rn *run) error {
	if rl.wasStopped(ctx, rn) {
		return errStopped
	}
	out, err := rn.sp.rest()
	if err != nil {
		return err
	}
	if err := rl.sendEvents(wr, rn, out); err != nil || rn.began {
		return err
	}
	return rn.write(wr, nil) // an answer without a body
}

// write sends bytes to the caller, behind the head if that did not go out.
func (rn *run) write(wr http.ResponseWriter, out []byte) error {
	if !rn.began {
		rn.began, rn.status = true, rn.rsp.StatusCode
		header := rn.rsp.Header.Clone()
		header.Del("Content-Length") // the answer may be finished by another engine
		writeHead(wr, rn.rsp.StatusCode, header)
	}
	if _, err := wr.Write(out); err != nil {
		return errors.Join(errCaller, err)
	}
	if err := http.NewResponseController(wr).Flush(); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// endOfRun is the end of a generation whose answer broke off.
func (rl *Relay) endOfRun(ctx context.Context, began bool, err error) error {
	if began {
		return cut(err)
	}
	rf := refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed, Detail: text(err)}
	if clock.Overdue(ctx) {
		rf.Reason = refusal.DeadlinePassed
	}
	return rf
}
