package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// moveWithin bounds a move: an engine is gone about two seconds after notice.
const moveWithin = 3 * clock.Second

// Causes for which the answer of a run breaks off.
var (
	errNoEvents = errors.New("the stream broke off")
	errCaller   = errors.New("the caller does not read on")
	errNoTarget = errors.New("no engine has room for the run")
)

type (
	// run is a generation at its decode engine.
	run struct {
		ex *exchange
		pl place
		decoding
		sp    splitter
		began bool         // the head of the answer went to the caller
		heard clock.Millis // when the engine was last heard of
		made  int          // tokens that came

		// Guarded by Relay.mu.
		moving bool          // a move was begun
		moved  chan movedRun // holds what a move came to, if moving
	}

	// movedRun is where a run can be gone on with.
	movedRun struct {
		at  board.BackendServer
		src Handle
		err error
	}
)

func (rl *Relay) newRun(ex *exchange, pl place, dec decoding) *run {
	rn := &run{ex: ex, pl: pl, decoding: dec, heard: rl.now(), moved: make(chan movedRun, 1)}
	rn.sp.last = ex.req.After
	rl.mu.Lock()
	rl.runs[rn] = struct{}{}
	rl.mu.Unlock()
	return rn
}

// pass sends the answer of a run to the caller, event by event, and goes on
// with it elsewhere when its engine breaks off or leaves.
func (rl *Relay) pass(ctx context.Context, wr http.ResponseWriter, ex *exchange, rn *run) error {
	defer func() {
		rn.close()
		rl.mu.Lock()
		delete(rl.runs, rn)
		rl.mu.Unlock()
		rl.leavePlace(rn.pl)
	}()
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
		if errNext := rl.goOn(ctx, rn, err); errNext != nil {
			rl.Log.Log(event.RelayRunLost, event.F("Request", ex.req.ID), event.F("Server", rn.pl.server.ID),
				event.F("Last", rn.sp.last), event.F("Error", errNext.Error()))
			return rl.endOfRun(ctx, rn.began, errNext)
		}
	}
}

// copyEvents passes events on until the stream ends. Only whole events go
// out, and the head goes out with the first of them.
func (rl *Relay) copyEvents(ctx context.Context, wr http.ResponseWriter, rn *run) error {
	flusher := http.NewResponseController(wr)
	buf := make([]byte, copyBytes)
	for {
		size, err := rn.rsp.Body.Read(buf)
		if size > 0 {
			rn.heard = rl.now()
		}
		out := rn.sp.add(buf[:size])
		events := bytes.Count(out, []byte("\n\n"))
		if len(out) > 0 {
			rn.ex.noteEvents(rl.now(), events, rn.sp.last)
		}
		rl.grew(rn, events)
		if errors.Is(err, io.EOF) {
			out = append(out, rn.sp.rest()...)
		}
		if len(out) > 0 {
			rn.begun()
		}
		if len(out) > 0 && !rn.began {
			rn.ex.first = max(1, rl.now()-rn.ex.req.Came)
			rl.learnBegin(rn)
		}
		if len(out) > 0 || errors.Is(err, io.EOF) {
			if errWrite := rn.write(wr, flusher, out); errWrite != nil {
				return errors.Join(errCaller, errWrite)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			rn.sp.drop()
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
	}
}

func (rn *run) write(wr http.ResponseWriter, flusher *http.ResponseController, out []byte) error {
	if !rn.began {
		rn.began = true
		header := rn.rsp.Header.Clone()
		header.Del("Content-Length") // the answer may be finished by another engine
		writeHead(wr, rn.rsp.StatusCode, header)
	}
	if _, err := wr.Write(out); err != nil {
		return err
	}
	return flusher.Flush()
}

// goOn continues a run whose stream broke: from its memory if that was moved,
// or by a new run where the route allows one.
func (rl *Relay) goOn(ctx context.Context, rn *run, broke error) error {
	rl.mu.Lock()
	moving := rn.moving
	rl.mu.Unlock()
	if moving {
		select {
		case mv := <-rn.moved:
			if mv.err == nil {
				return rl.continueAt(ctx, rn, mv)
			}
			broke = mv.err
		case <-ctx.Done():
			return ctx.Err()
		}
	} else {
		rl.mu.Lock()
		rl.failed(rl.poolOf(rn.ex.svc.Name), rn.pl.server.ID)
		rl.mu.Unlock()
	}
	if !rn.ex.rt.Resumable || rn.ex.ran >= rn.ex.rt.Attempts {
		return errors.Join(errNoEvents, broke)
	}
	return rl.resume(ctx, rn)
}

// continueAt reads a moved run on at its new engine.
func (rl *Relay) continueAt(ctx context.Context, rn *run, mv movedRun) error {
	within, end := rl.callTo(ctx, mv.at)
	rsp, err := rl.Servers.Send(within, mv.at, rn.ex.req, Options{Left: rl.left(rn.ex), Source: mv.src, After: rn.sp.last})
	rl.Log.Log(event.RelayMoved, event.F("Request", rn.ex.req.ID), event.F("From", rn.pl.server.ID),
		event.F("To", mv.at.ID), event.F("Last", rn.sp.last), event.F("Status", statusOf(rsp)), event.F("Error", text(err)))
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

// resume begins a new run behind the last event that the caller has.
func (rl *Relay) resume(ctx context.Context, rn *run) error {
	pl, err := rl.findPlace(ctx, rn.ex)
	if err != nil {
		return err
	}
	hd := rl.prefill(ctx, rn.ex, pl)
	dec, err := rl.decode(ctx, rn.ex, pl, hd, rn.sp.last)
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
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rn.pl, rn.decoding, rn.moving = pl, dec, false
	rn.moved = make(chan movedRun, 1)
}

// endOfRun is the end of a generation whose answer broke off.
func (rl *Relay) endOfRun(ctx context.Context, began bool, err error) error {
	if began {
		return cut(err)
	}
	rf := refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed, Detail: text(err)}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		rf.Reason = refusal.DeadlinePassed
	}
	return rf
}

// leaveEngines moves the runs of this VM away from engines that leave. The
// lock is held.
func (rl *Relay) leaveEngines(bk *board.Backends) {
	for rn := range rl.runs {
		at, listed := bk.Server(rn.pl.server.ID)
		stays := listed && !at.Leaving || bk.Reborn(rn.pl.server) // of an earlier life there is nothing to move
		if rn.moving || stays || rn.ex.svc.Engines == nil || !rn.ex.svc.Engines.Moves {
			continue
		}
		rn.moving = true
		go rl.move(rn, rn.pl, rn.moved)
	}
}

// move takes a run away from an engine that leaves. The copy is made while
// the run goes on; only what is new since then is copied after it stopped.
func (rl *Relay) move(rn *run, from place, result chan<- movedRun) {
	ctx, stop := context.WithTimeout(context.Background(), moveWithin.Std())
	defer stop()
	if !clock.Sleep(ctx, rl.Settings.MoveAfter) || rl.ended(rn) {
		result <- movedRun{err: errNoEvents}
		return
	}
	mv := movedRun{err: errNoTarget}
	for _, to := range rl.moveTargets(from) {
		mv = rl.moveTo(ctx, rn, from.server, to)
		if !backend.NotRun(mv.err) {
			break // it was moved, or may have been stopped
		}
	}
	if mv.err != nil {
		rl.Log.Log(event.RelayNotMoved, event.F("Request", rn.ex.req.ID), event.F("From", from.server.ID), event.F("Error", text(mv.err)))
	}
	if mv.err == nil && rl.ended(rn) {
		rl.forget(rn.ex, mv.src) // it ended while the last part was copied
	}
	result <- mv
}

// moveTo copies a run to another engine while it goes on, and stops it to copy
// the rest. What was copied for nothing is freed.
func (rl *Relay) moveTo(ctx context.Context, rn *run, from, to board.BackendServer) movedRun {
	first, err := rl.Servers.Move(ctx, from, to, rn.ex.req.ID, false)
	if err != nil {
		return movedRun{err: err}
	}
	last, err := rl.Servers.Move(ctx, from, to, rn.ex.req.ID, true)
	if err != nil {
		rl.forget(rn.ex, first)
		return movedRun{err: backend.InDoubtError{Server: from.ID, Call: "Move", Err: err}}
	}
	return movedRun{at: to, src: last}
}

func (rl *Relay) ended(rn *run) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	_, there := rl.runs[rn]
	return !there
}
