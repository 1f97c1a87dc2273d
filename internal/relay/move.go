package relay

import (
	"context"
	"errors"
	"math"
	"slices"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/poison"
	"alderdyke/internal/rebalance"
	"alderdyke/internal/route"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

const (
	// moveTimeout bounds a move: an engine exits about two seconds after its notice.
	moveTimeout = 3 * clock.Second
	// stayTimeout is how long after the notice a run that could not be moved may
	// still continue where it was: engines may be sent nothing new after two seconds.
	stayTimeout = 1500 * clock.Millis(1)
	// copyPart of the longest time between two events of a stream is the longest time of the
	// first copy of a run whose engine does not leave. The stream pauses for the second copy,
	// which takes as long in the worst case, and for the call that continues it.
	copyPart = 3
	// maxCopyTime is the same for a route that does not limit the time between events.
	maxCopyTime = 100 * clock.Millis(1)
	// slowCopyFactor is the multiple of that time after which the call is given up: until
	// then its copy can be freed, and later it expires by itself.
	slowCopyFactor = 3
	// inDoubtFor is how long after a failed call to stop a run its events may still be on their
	// way. If one comes later, the run was not stopped.
	inDoubtFor = clock.Second
	// sizeDivisor is the part of the size stated in a move request by which the run may
	// differ, so that another run than the one that was meant is hardly ever moved.
	sizeDivisor = 4
)

// Reasons for a move; values of a field and of a counter's tag.
const (
	moveLeaving moveReason = "Leaving" // its engine leaves
	moveFull    moveReason = "Full"    // its engine is about to run out of memory
)

// Outcomes of a move; values of a counter's tag.
const (
	moveDone     = "Done"
	moveDeclined = "Declined" // no engine had room
	moveSlow     = "Slow"     // the first copy took too long
	moveGone     = "Gone"     // there is no such run, or it ended
	moveBudget   = "Budget"   // the budget for retries did not pay for it
	moveFailed   = "Failed"
)

// Causes for which a run does not continue where it is.
var (
	errNoTarget       = errors.New("no engine has room for the run")
	errStoppedForMove = errors.New("the run was stopped to be moved")
	errSlowCopy       = errors.New("the first copy of the run took too long")
)

type (
	moveReason string

	// runMove is the move of a run in progress, or its unused result.
	runMove struct {
		reason moveReason
		from   place
		to     board.BackendServer // if the reason is moveFull
		paid   bool                // an arrival was paid for
		cancel context.CancelFunc
		done   chan struct{} // closed when the move has ended
		result movedRun      // valid then

		// Guarded by Relay.mu.
		started  bool         // the wait after the notice of a leaving engine has ended
		stopping bool         // it may have stopped the run
		givenUp  bool         // the engine of the run leaves, and the run is moved for that instead
		endedAt  clock.Millis // zero: it has not
		target   place        // at which the run counts beside its own; the zero value is none
	}

	// movedRun is where a run can be continued.
	movedRun struct {
		target  board.BackendServer
		source  Handle
		stopped bool // the run was stopped, or may have been
		err     error
	}
)

// moveFromLeavingEngines moves the runs of this VM away from engines that leave. The
// lock is held.
func (rl *Relay) moveFromLeavingEngines(bk *board.Backends) {
	for rn := range rl.runs {
		rl.moveIfLeaving(rn, bk)
	}
}

// moveIfLeaving is moveFromLeavingEngines for one run.
func (rl *Relay) moveIfLeaving(rn *run, bk *board.Backends) {
	at, listed := bk.Server(rn.pl.server.ID)
	if listed && !at.Leaving || bk.Restarted(rn.pl.server) { // an earlier incarnation has nothing left to move
		return
	}
	rn.move.giveUp()
	if rn.move != nil || rn.broken || rn.ex.svc.Engines == nil || !rn.ex.svc.Engines.Migration {
		return
	}
	rl.beginMove(rn, &runMove{reason: moveLeaving})
}

// moveIfNoticed moves a run that has just begun if its engine began to leave during the call
// that started it. Nothing can be moved from an engine that is no longer listed, and a stream that
// broke with it would wait for the move. The lock is held.
func (rl *Relay) moveIfNoticed(rn *run) {
	bk := rl.Backends()
	if at, listed := bk.Server(rn.pl.server.ID); listed && at.Leaving {
		rl.moveIfLeaving(rn, bk)
	}
}

// giveUp ends a requested move that has not stopped its run. Its first copy may take longer than
// a leaving engine has. The caller holds Relay.mu.
func (mo *runMove) giveUp() {
	if mo != nil && mo.reason == moveFull && !mo.stopping && mo.endedAt == 0 {
		mo.givenUp = true
		mo.cancel()
	}
}

// beginMove moves a run in the background. The lock is held.
func (rl *Relay) beginMove(rn *run, mo *runMove) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout.Std())
	mo.from, mo.cancel, mo.done = rn.pl, cancel, make(chan struct{})
	rn.move = mo
	go func() {
		defer cancel()
		rl.endMove(rn, mo, rl.move(ctx, rn, mo))
	}()
}

// MoveRun moves one of this VM's runs as a scheduler requests, if there is one at the engine
// of about the stated size that may be moved.
func (rl *Relay) MoveRun(ask usage.MoveRequest) {
	runs, on := rl.runsToMove(ask)
	if !on {
		return
	}
	for _, rn := range runs {
		if rl.poisonRefusal(rn.ex) != nil {
			continue
		}
		if rl.beginRequestedMove(rn, ask) {
			return
		}
	}
	rl.countMove(moveFull, moveGone)
}

// runsToMove lists the runs that a move request may mean, the most similar in size first. The
// result on is false if this VM moves none.
func (rl *Relay) runsToMove(ask usage.MoveRequest) (out []*run, on bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	if !rl.rebalances() {
		return nil, false
	}
	differs := func(rn *run) int { return abs(rn.pl.entry.Run().Tokens - ask.Tokens) }
	for rn := range rl.runs {
		if rl.mayMove(rn, ask) && sizeDivisor*differs(rn) <= ask.Tokens {
			out = append(out, rn)
		}
	}
	slices.SortFunc(out, func(ra, rb *run) int { return differs(ra) - differs(rb) })
	return out, true
}

func abs(val int) int { return max(val, -val) }

// mayMove reports whether a run may be moved as requested. The lock is held.
func (rl *Relay) mayMove(rn *run, ask usage.MoveRequest) bool {
	bk := rl.Backends()
	at, listed := bk.Server(ask.From)
	if _, there := rl.runs[rn]; !there || rn.pl.server.ID != ask.From || rn.ex.svc.Name != ask.Service || !listed || at.Leaving || bk.Restarted(rn.pl.server) {
		return false
	}
	return rn.move == nil && !rn.broken && rn.movable && rn.moves < rebalance.MaxMoves && rn.ex.svc.Engines.Migration
}

// beginRequestedMove begins to move a run, unless it may no longer be moved or the requested
// engine is not one of its version that accepts work. From now on the run also counts at
// that engine, so that the reports of this VM show it there.
func (rl *Relay) beginRequestedMove(rn *run, ask usage.MoveRequest) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	to := rl.enginesOf(rl.poolOf(ask.Service), []string{ask.To}, rn.pl.server.Version)
	if !rl.mayMove(rn, ask) || len(to) == 0 || to[0].Role != board.Decode || to[0].Service != ask.Service || to[0].Version != rn.pl.server.Version {
		return false
	}
	mo := &runMove{reason: moveFull, to: to[0]}
	mo.target = rl.countPlace(place{server: to[0], service: ask.Service}, rn.pl.entry.Run(), rn.pl.entry.Output())
	rl.beginMove(rn, mo)
	return true
}

// move moves a run. The first copy is made while the run continues; what was added since
// then is copied after the run was stopped.
func (rl *Relay) move(ctx context.Context, rn *run, mo *runMove) movedRun {
	stays := rl.now() + stayTimeout
	switch {
	case mo.reason == moveFull:
		stays = math.MaxInt64 // its engine does not leave
	case !clock.Sleep(ctx, rl.Settings.MoveAfter) || !rl.startMove(rn, mo):
		rl.countMove(mo.reason, moveGone)
		return movedRun{err: errStreamBroken}
	}
	mv := movedRun{err: rl.poisonRefusal(rn.ex)} // a refused run that was stopped could not continue
	switch {
	case mv.err != nil:
	case rl.reserveArrival(rn, mo.reason):
		mo.paid = true
		mv = rl.moveAway(ctx, rn, mo, stays)
	default:
		mv.err = errBudget
	}
	if mv.err != nil {
		rl.countMove(mo.reason, moveOutcome(mv.err))
		rl.Log.Log(event.RelayNotMoved, event.F("Request", rn.ex.req.ID), event.F("From", mo.from.server.ID), event.F("To", mo.to.ID),
			event.F("Reason", string(mo.reason)), event.F("Stopped", mv.stopped), event.F("Error", errorText(mv.err)))
	}
	return mv
}

// endMove passes on the result of a move. A run that continues where it was may be moved
// again, unless its engine leaves: then nothing has changed since it was asked.
func (rl *Relay) endMove(rn *run, mo *runMove, mv movedRun) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	mo.result, mo.endedAt = mv, rl.now()
	close(mo.done)
	if mv.err == nil {
		return
	}
	rl.leaveTarget(mo)
	if mo.reason != moveFull || mv.stopped {
		return
	}
	if mo.paid {
		rl.refundArrival(rn.ex)
	}
	if rn.move == mo && !rn.broken {
		rn.move = nil
		rl.moveFromLeavingEngines(rl.Backends()) // one that began to leave meanwhile
	}
}

// resolveMove lets a run be moved again that still sends events although a move may have
// stopped it. The lock is held.
func (rl *Relay) resolveMove(rn *run) {
	mo := rn.move
	if mo != nil && mo.reason == moveFull && mo.endedAt > 0 && mo.result.err != nil && rl.now()-mo.endedAt >= inDoubtFor {
		rn.move = nil
		rl.moveFromLeavingEngines(rl.Backends())
	}
}

// leaveTarget ends the count of a run at the engine that it was to move to. The lock is held.
func (rl *Relay) leaveTarget(mo *runMove) {
	if mo.target.entry != nil {
		rl.uncountPlace(mo.target)
		mo.target = place{}
	}
}

// moveAway moves a run to the first engine that accepts it.
func (rl *Relay) moveAway(ctx context.Context, rn *run, mo *runMove, stayUntil clock.Millis) movedRun {
	mv := movedRun{err: errNoTarget}
	targets, reserve := []board.BackendServer{mo.to}, rn.ex.reserve()
	if mo.reason == moveLeaving {
		targets, reserve = rl.moveTargets(mo.from), reserveBound
	}
	for _, to := range targets {
		if _, ok := rl.ensurePermit(ctx, rn.ex, to.ID, reserve); !ok {
			continue
		}
		mv = rl.moveTo(ctx, rn, mo, to, stayUntil)
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
func (rl *Relay) moveTo(ctx context.Context, rn *run, mo *runMove, to board.BackendServer, stayUntil clock.Millis) movedRun {
	from := mo.from.server
	first, err := rl.copyRun(ctx, rn, mo, to)
	if err != nil {
		return movedRun{err: err}
	}
	if !rl.markStopping(rn, mo) {
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

// copyRun makes the first copy of a run. If its engine does not leave, a copy that takes so
// long that the second one would delay the stream is freed.
func (rl *Relay) copyRun(ctx context.Context, rn *run, mo *runMove, to board.BackendServer) (Handle, error) {
	if mo.reason == moveLeaving {
		return rl.Servers.Move(ctx, mo.from.server, to, rn.ex.req.ID, false)
	}
	limit, began := copyLimit(rn.ex.rt), rl.now()
	within, stop := context.WithTimeout(ctx, (slowCopyFactor * limit).Std())
	defer stop()
	first, err := rl.Servers.Move(within, mo.from.server, to, rn.ex.req.ID, false)
	switch {
	case err == nil && rl.now()-began > limit:
		rl.forget(rn.ex, first)
		return Handle{}, errSlowCopy
	case err != nil && within.Err() != nil && ctx.Err() == nil:
		return Handle{}, errors.Join(errSlowCopy, err)
	}
	return first, err
}

// copyLimit returns how long the first copy of a run of a route may take.
func copyLimit(rt route.Route) clock.Millis {
	if rt.MaxEventGap > 0 {
		return max(1, rt.MaxEventGap/copyPart)
	}
	return maxCopyTime
}

// markStopping records that a run is about to be stopped, unless it has ended, can't be
// continued, or the move was given up.
func (rl *Relay) markStopping(rn *run, mo *runMove) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	_, there := rl.runs[rn]
	mo.stopping = there && (mo.reason == moveLeaving || rn.movable && !rn.broken && !mo.givenUp)
	return mo.stopping
}

// freeUnusedCopy frees the copy of a run that ended before the copy was used.
func (rl *Relay) freeUnusedCopy(rn *run, mo *runMove) {
	<-mo.done // a move always ends within moveTimeout
	if mo.result.err != nil {
		return
	}
	rl.mu.Lock()
	rl.leaveTarget(mo)
	rl.mu.Unlock()
	rl.countMove(mo.reason, moveGone)
	rl.forget(rn.ex, mo.result.source)
}

// mayHaveStopped reports whether a failed call to stop and copy a run may have
// stopped it. An engine stops a run first, and may then find no room for the copy; an
// engine that does not know the run has already ended it.
func mayHaveStopped(err error) bool {
	oc, why := backend.OutcomeOf(err)
	return oc != backend.NotSent && why != backend.Unknown
}

// await waits for the result of a move.
func (mo *runMove) await(ctx context.Context) (movedRun, error) {
	select {
	case <-mo.done:
		return mo.result, nil
	default:
	}
	select {
	case <-mo.done:
		return mo.result, nil
	case <-ctx.Done():
		return movedRun{}, ctx.Err()
	}
}

// stoppingMove returns the move that may have stopped a run, or nil.
func (rl *Relay) stoppingMove(rn *run) *runMove {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rn.move == nil || !rn.move.stopping {
		return nil
	}
	return rn.move
}

// wasStopped reports whether an answer that ended in order may have ended because its
// run was stopped to be moved. If the answer has a length, or is sent in chunks, its
// end means that it is complete; an answer that is delimited by the end of its
// connection ends in the same way in both cases.
func (rl *Relay) wasStopped(ctx context.Context, rn *run) bool {
	if framingOf(rn.rsp) != byConnection {
		return false
	}
	mo := rl.stoppingMove(rn)
	if mo == nil {
		return false
	}
	mv, err := mo.await(ctx)
	return err != nil || mv.err == nil || mv.stopped
}

// brokeForMove reports whether the stream of a run broke because a move stopped the run. An
// engine that leaves may exit at any time; any other one may have crashed if the call to stop the
// run broke off too.
func (rl *Relay) brokeForMove(ctx context.Context, rn *run) bool {
	mo := rl.stoppingMove(rn)
	if mo == nil || mo.reason == moveLeaving {
		return mo != nil
	}
	mv, err := mo.await(ctx)
	return err != nil || !mv.brokeOff(ctx)
}

// brokeOff reports whether the engine of the run broke off the move or never received the call
// to stop the run, so that the move does not explain why the stream broke.
func (mv movedRun) brokeOff(ctx context.Context) bool {
	return mv.err != nil && (!mv.stopped || poison.MayHaveCrashed(ctx, mv.err))
}

// startMove ends the wait before a move, and reports whether the run has not ended.
func (rl *Relay) startMove(rn *run, mo *runMove) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	_, mo.started = rl.runs[rn]
	return mo.started
}

// moveOutcome returns the outcome of a move that failed.
func moveOutcome(err error) string {
	oc, why := backend.OutcomeOf(err)
	switch {
	case errors.Is(err, errBudget):
		return moveBudget
	case errors.Is(err, errSlowCopy):
		return moveSlow
	case errors.Is(err, errStreamBroken), why == backend.Unknown:
		return moveGone
	case errors.Is(err, errNoTarget), oc == backend.Declined:
		return moveDeclined
	default:
		return moveFailed
	}
}

// countMove counts a move that has ended.
func (rl *Relay) countMove(reason moveReason, outcome string) {
	rl.count("Moves", map[string]string{"Reason": string(reason), "Outcome": outcome})
}
