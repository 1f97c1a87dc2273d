package relay

import (
	"context"
	"errors"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

const (
	// moveTimeout bounds a move: an engine exits about two seconds after its notice.
	moveTimeout = 3 * clock.Second
	// stayTimeout is how long after the notice a run that could not be moved may
	// still continue where it was: engines may be sent nothing new after two seconds.
	stayTimeout = 1500 * clock.Millis(1)
)

// Causes for which a run does not continue where it is.
var (
	errNoTarget       = errors.New("no engine has room for the run")
	errStoppedForMove = errors.New("the run was stopped to be moved")
)

// movedRun is where a run can be continued.
type movedRun struct {
	target  board.BackendServer
	source  Handle
	stopped bool // the run was stopped, or may have been
	err     error
}

// moveFromLeavingEngines moves the runs of this VM away from engines that leave. The
// lock is held.
func (rl *Relay) moveFromLeavingEngines(bk *board.Backends) {
	for rn := range rl.runs {
		at, listed := bk.Server(rn.pl.server.ID)
		stayUntil := listed && !at.Leaving || bk.Restarted(rn.pl.server) // an earlier incarnation has nothing left to move
		if rn.moving || rn.broken || stayUntil || rn.ex.svc.Engines == nil || !rn.ex.svc.Engines.Migration {
			continue
		}
		rn.moving = true
		go rl.move(rn, rn.pl, rn.moved)
	}
}

// move moves a run away from an engine that leaves. The first copy is made while the
// run continues; what was added since then is copied after the run was stopped.
func (rl *Relay) move(rn *run, from place, result chan<- movedRun) {
	stays := rl.now() + stayTimeout
	ctx, stop := context.WithTimeout(context.Background(), moveTimeout.Std())
	defer stop()
	if !clock.Sleep(ctx, rl.Settings.MoveAfter) || rl.hasEnded(rn) {
		result <- movedRun{err: errStreamBroken}
		return
	}
	mv := movedRun{err: rl.poisonRefusal(rn.ex)} // a refused run that was stopped could not continue
	switch {
	case mv.err != nil:
	case rl.reserveArrival(rn):
		mv = rl.moveAway(ctx, rn, from, stays)
	default:
		mv.err = errBudget
	}
	if mv.err != nil {
		rl.Log.Log(event.RelayNotMoved, event.F("Request", rn.ex.req.ID), event.F("From", from.server.ID),
			event.F("Stopped", mv.stopped), event.F("Error", errorText(mv.err)))
	}
	result <- mv
}

// moveAway moves a run to the first engine that accepts it.
func (rl *Relay) moveAway(ctx context.Context, rn *run, from place, stayUntil clock.Millis) movedRun {
	mv := movedRun{err: errNoTarget}
	for _, to := range rl.moveTargets(from) {
		if _, ok := rl.ensurePermit(ctx, rn.ex, to.ID, reserveBound); !ok {
			continue
		}
		mv = rl.moveTo(ctx, rn, from.server, to, stayUntil)
		if mv.err == nil && mv.target.ID == to.ID {
			break
		}
		rl.returnPermit(rn.ex, to.ID)
		if _, why := backend.OutcomeOf(mv.err); mv.stopped || !backend.NotRun(mv.err) || why == backend.Unknown {
			break // it continues where it was, may have been stopped, or has ended
		}
	}
	return mv
}

// moveTo copies a run to another engine while it continues, and stops it to copy the
// rest. An unused copy is freed. A run that was stopped but not moved continues where
// it was, until the given time.
func (rl *Relay) moveTo(ctx context.Context, rn *run, from, to board.BackendServer, stayUntil clock.Millis) movedRun {
	first, err := rl.Servers.Move(ctx, from, to, rn.ex.req.ID, false)
	if err != nil {
		return movedRun{err: err}
	}
	if !rl.markStopping(rn) {
		rl.forget(rn.ex, first)
		return movedRun{err: errStreamBroken}
	}
	last, err := rl.Servers.Move(ctx, from, to, rn.ex.req.ID, true)
	if err == nil {
		return movedRun{target: to, source: last}
	}
	if last.ID != "" && rl.now() < stayUntil {
		// The first copy expires by itself: freeing it might also free the memory
		// that the run continues with.
		return movedRun{target: from, source: last}
	}
	rl.forget(rn.ex, first)
	return movedRun{stopped: mayHaveStopped(err), err: err}
}

// markStopping records that a run is about to be stopped, unless it has ended.
func (rl *Relay) markStopping(rn *run) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	_, there := rl.runs[rn]
	rn.stopping = there
	return there
}

// freeUnusedCopy frees the copy of a run that ended before the copy was used.
func (rl *Relay) freeUnusedCopy(rn *run) {
	mv := rn.moveResult
	if mv == nil {
		got := <-rn.moved // a move always ends within moveTimeout
		mv = &got
	}
	if mv.err == nil {
		rl.forget(rn.ex, mv.source)
	}
}

// mayHaveStopped reports whether a failed call to stop and copy a run may have
// stopped it. An engine stops a run first, and may then find no room for the copy; an
// engine that does not know the run has already ended it.
func mayHaveStopped(err error) bool {
	oc, why := backend.OutcomeOf(err)
	return oc != backend.NotSent && why != backend.Unknown
}

// awaitMove waits for the result of moving a run.
func (rn *run) awaitMove(ctx context.Context) (movedRun, error) {
	if rn.moveResult != nil {
		return *rn.moveResult, nil
	}
	select {
	case mv := <-rn.moved:
		rn.moveResult = &mv
		return mv, nil
	case <-ctx.Done():
		return movedRun{}, ctx.Err()
	}
}

// wasStopped reports whether an answer that ended in order may have ended because its
// run was stopped to be moved. If the answer has a length, or is sent in chunks, its
// end means that it is complete; an answer that is delimited by the end of its
// connection ends in the same way in both cases.
func (rl *Relay) wasStopped(ctx context.Context, rn *run) bool {
	if framingOf(rn.rsp) != byConnection {
		return false
	}
	rl.mu.Lock()
	stopping := rn.stopping
	rl.mu.Unlock()
	if !stopping {
		return false
	}
	mv, err := rn.awaitMove(ctx)
	return err != nil || mv.err == nil || mv.stopped
}

func (rl *Relay) hasEnded(rn *run) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	_, there := rl.runs[rn]
	return !there
}
