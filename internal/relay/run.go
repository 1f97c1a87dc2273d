package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"

	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// eventStreamType is the media type of server-sent events.
const eventStreamType = "text/event-stream"

// Causes for which the answer of a run breaks.
var (
	errStreamBroken = errors.New("the stream broke off")
	errCallerWrite  = errors.New("writing to the caller failed")
	errInsideEvent  = errors.New("the stream ended inside an event")
)

// run is a generation at its decode engine.
type run struct {
	ex *exchange
	pl place
	decoding
	sp             splitter
	resumeAttempts int          // new runs that were started to continue it
	headerSent     bool         // the header of the answer was sent to the caller
	status         int          // that was sent with the header
	lastRead       clock.Millis // when the engine last sent something
	tokens         int          // received so far
	received       int          // bytes of the answer from all engines
	withheld       int64        // bytes of sp that count towards the memory for requests

	// Guarded by Relay.mu.
	broken  bool     // its stream broke; it is not moved any more
	move    *runMove // in progress, or its result was not used; nil: none
	movable bool     // its engine has sent an event, and the stream can continue after it
	moves   int      // how often it was moved
}

func (rl *Relay) newRun(ex *exchange, pl place, dec decoding) *run {
	rn := &run{ex: ex, pl: pl, decoding: dec, lastRead: rl.now()}
	rn.sp.last = ex.req.LastEventID
	rn.attachResponse(dec.rsp)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.runs[rn] = struct{}{}
	rl.moveIfNoticed(rn)
	return rn
}

// endRun releases what is left of a run.
func (rl *Relay) endRun(rn *run) {
	rn.close()
	rl.mu.Lock()
	delete(rl.runs, rn)
	mo := rn.move
	if mo != nil && mo.reason == moveLeaving && !mo.started {
		mo.cancel() // it need not wait any longer
	}
	rl.mu.Unlock()
	rl.leavePlace(rn.pl)
	if mo != nil {
		go rl.freeUnusedCopy(rn, mo)
	}
}

// deliver sends the answer of a run to the caller, event by event, and continues it
// elsewhere when its stream breaks or its engine leaves.
func (rl *Relay) deliver(ctx context.Context, wr http.ResponseWriter, ex *exchange, rn *run) error {
	defer rl.endRun(rn)
	for {
		err := rl.copyEvents(ctx, wr, rn)
		if err == nil {
			rl.recordAnswerLength(rn)
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errCallerWrite) {
			rl.Log.Log(event.RelayCallerGone, event.F("Request", ex.req.ID), event.F("Server", rn.pl.server.ID),
				event.F("Last", rn.sp.last), event.F("Silent", (rl.now()-rn.lastRead).String()))
			return rl.runError(ctx, rn.headerSent, err)
		}
		rn.sp.discard()
		rn.accountWithheld()
		rl.recordBrokenRun(ctx, rn, err)
		if errNext := rl.resumeStream(ctx, rn, err); errNext != nil {
			rl.Log.Log(event.RelayRunLost, event.F("Request", ex.req.ID), event.F("Server", rn.pl.server.ID),
				event.F("Last", rn.sp.last), event.F("Error", errNext.Error()))
			return rl.runError(ctx, rn.headerSent, errNext)
		}
	}
}

// recordBrokenRun records that the stream of a run broke, unless the run was stopped
// to be moved or the engine sent something else.
func (rl *Relay) recordBrokenRun(ctx context.Context, rn *run, err error) {
	if rl.brokeForMove(ctx, rn) || rn.pl.server.ID == "" || errors.Is(err, errOutOfSequence) || errors.Is(err, errStoppedForMove) {
		return
	}
	rl.recordBrokenCall(ctx, rn.ex, rn.pl.server, rn.events > 0, rl.otherRunsAt(rn.pl.server.ID))
}

// logStreamEnd logs how the stream of a run ended.
func (rl *Relay) logStreamEnd(rn *run, err error) {
	rl.Log.Log(event.RelayStreamEnded, event.F("Request", rn.ex.req.ID), event.F("Server", rn.server.ID),
		event.F("Status", rn.rsp.StatusCode), event.F("Framing", framingOf(rn.rsp)), event.F("Events", rn.events),
		event.F("Last", rn.sp.last), event.F("Withheld", len(rn.sp.pending)), event.F("Error", errorText(err)))
}

// copyEvents forwards events until the stream ends. Only whole events are sent, and
// the header is sent with the first of them.
func (rl *Relay) copyEvents(ctx context.Context, wr http.ResponseWriter, rn *run) error {
	buf := make([]byte, copyBufferBytes)
	for {
		size, err := rn.rsp.Body.Read(buf)
		if size > 0 {
			rn.lastRead = rl.now()
			rn.received += size
		}
		rn.sp.strict = rn.mustBeEvents()
		out, errEvents := rn.sp.add(buf[:size])
		if errEvents == nil {
			errEvents = rn.checkLength()
		}
		if errEvents == nil && !rn.accountWithheld() && !rn.sp.sourceChanged {
			out, errEvents = rl.passOnWithheld(rn, out)
		}
		if errEvents != nil {
			rl.logStreamEnd(rn, errEvents)
			return errEvents
		}
		if errSend := rl.sendEvents(wr, rn, out); errSend != nil {
			return errSend
		}
		switch {
		case errors.Is(err, io.EOF):
			rl.logStreamEnd(rn, nil)
			return rl.finishEvents(ctx, wr, rn)
		case err != nil:
			rl.logStreamEnd(rn, err)
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
	}
}

// accountWithheld reserves the memory of the withheld bytes or releases what they no longer
// take. It reports false if there is no memory for them. They are passed on then, but for
// the first event of another engine, which has to follow those that the caller has.
func (rn *run) accountWithheld() bool {
	need := rn.sp.countedBytes()
	switch {
	case need < rn.withheld:
		rn.ex.req.Memory.Release(rn.withheld - need)
	case need > rn.withheld && !rn.ex.req.Memory.TryReserve(need-rn.withheld):
		return false
	}
	rn.withheld = need
	return true
}

// passOnWithheld appends the withheld bytes to those that are to be sent.
func (rl *Relay) passOnWithheld(rn *run, out []byte) ([]byte, error) {
	rl.count("EventsNotWithheld", map[string]string{"Reason": "Memory"})
	part, err := rn.sp.passOn()
	rn.accountWithheld()
	return append(out, part...), err
}

// sendEvents sends the received events, if there are any.
func (rl *Relay) sendEvents(wr http.ResponseWriter, rn *run, out []byte) error {
	if len(out) == 0 {
		return nil
	}
	events := bytes.Count(out, []byte("\n\n"))
	rn.events += events
	rn.ex.recordEvents(rl.now(), events, rn.sp.last)
	rl.recordGrowth(rn, events)
	rn.promptDone()
	if !rn.headerSent {
		rn.ex.firstEventAfter = max(1, rl.now()-rn.ex.req.Arrived)
		rl.recordFirstEventTime(rn)
	}
	return rn.write(wr, out)
}

// isEventStream reports whether the response of a run is a stream of events. Without a
// content type its events tell.
func (rn *run) isEventStream() bool {
	if !succeeded(rn.rsp.StatusCode) {
		return false
	}
	contentType := rn.rsp.Header.Get("Content-Type")
	if contentType == "" {
		return rn.events > 0 || rn.sp.beginsWithField()
	}
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && media == eventStreamType
}

// finishEvents ends an answer whose stream ended in order. That alone does not mean
// that it is complete: an engine may stop inside an event and close its connection.
func (rl *Relay) finishEvents(ctx context.Context, wr http.ResponseWriter, rn *run) error {
	if rl.wasStopped(ctx, rn) {
		return errStoppedForMove
	}
	if rn.isEventStream() && rn.sp.insideEvent() {
		return errInsideEvent
	}
	if err := rl.checkEnd(ctx, rn.server, rn.rsp); err != nil {
		return err
	}
	out, err := rn.sp.flush()
	if err != nil {
		return err
	}
	if err := rl.sendEvents(wr, rn, out); err != nil || rn.headerSent {
		return err
	}
	return rn.write(wr, nil) // an answer without a body
}

// write sends bytes to the caller, after the header if that was not sent.
func (rn *run) write(wr http.ResponseWriter, out []byte) error {
	if !rn.headerSent {
		rn.headerSent, rn.status = true, rn.rsp.StatusCode
		header := rn.rsp.Header.Clone()
		header.Del("Content-Length") // another engine may finish the answer
		writeHeader(wr, rn.rsp.StatusCode, header)
	}
	if _, err := wr.Write(out); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	if err := http.NewResponseController(wr).Flush(); err != nil {
		return errors.Join(errCallerWrite, err)
	}
	return nil
}

// runError returns the error that ends a generation whose answer broke.
func (rl *Relay) runError(ctx context.Context, began bool, err error) error {
	if began {
		return wrapCut(err)
	}
	rf := refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed, Detail: errorText(err)}
	switch {
	case clock.Overdue(ctx):
		rf.Reason = refusal.DeadlinePassed
	case errors.Is(context.Cause(ctx), errExiting):
		rf.Reason = refusal.Draining
	}
	return rf
}
