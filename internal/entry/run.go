package entry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/claim"
	"alderdyke/internal/event"
	"alderdyke/internal/memory"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// claimTimeout limits the search for the VMs that keep a key.
	claimTimeout = 3 * clock.Second
	// maxFollowDelay is the maximum delay before a lost runner is looked up again;
	// it may still be considered alive.
	maxFollowDelay = 800 * clock.Millis(1)
)

// Roles of a VM for a request.
const (
	searching role = iota // not decided yet
	running
	following
)

var (
	// errAnswerExpired ends the request of a caller who has a part of an answer
	// that no VM or engine has any more. A new run could produce a different answer.
	errAnswerExpired = refusal.Refusal{
		Ran:    refusal.MayHaveRun,
		Reason: refusal.AnswerExpired,
		Detail: "the answer that the caller has a part of is no longer kept",
	}

	errReclaim = errors.New("the key must be claimed again")
	errKeyLost = errors.New("another VM took the request over")
)

type (
	// run is one request that this VM answers, by running it or by following
	// the VM that does.
	run struct {
		vm  *VM
		req caller.Request
		id  requestID
		st  *answer.Stream
		tr  *trace

		ctx    context.Context
		cancel context.CancelCauseFunc

		arrived  clock.Millis
		deadline clock.Millis

		claimed         *claimant       // connection to the seats of the key
		followed        board.VMRef     // the runner that was followed last
		attempt         int             // number of the claim that this VM runs under
		claimUntil      clock.Millis    // time until which the claim is valid without confirmation
		firstPieceAt    clock.Millis    // time of the first event of the answer; zero before it
		arrivedDraining bool            // arrived while this VM was draining; it may only be followed
		mayHaveBeenSent atomic.Bool     // a backend server may have started the request, for this VM or another
		role            atomic.Int32    // of type role
		roleChanged     signal          // the role changed, or the answer ended
		callerLeft      atomic.Bool     // the caller's connection broke
		absence         *absenceTimer   // cancels the run if no caller returns
		memory          *memory.Holding // of the request, and of its answer until nobody reads that
		bodyBytes       int64           // held by the request alone
		answer          heldAnswer

		ended     bool // its answer has ended; guarded by runs.mu, like the fields below
		kept      bool // in runs.ended
		keptBytes int  // of the answer, counted in runs.bytes and not in the memory budget
	}

	// role is the part that this VM has in a request.
	role int32

	// failure is the error of one attempt, with the stage at which it occurred.
	failure struct {
		stage string
		err   error
	}
)

func (fe failure) Error() string { return fmt.Sprintf("%s: %v", fe.stage, fe.err) }

func (fe failure) Unwrap() error { return fe.err }

func (vm *VM) newRun(req caller.Request) *run {
	now := vm.Clock.Now()
	rn := &run{
		vm:       vm,
		req:      req,
		id:       requestID{Customer: req.Customer, Key: req.Key},
		st:       answer.NewStream(),
		arrived:  now,
		deadline: now + req.Deadline,
	}
	rn.mayHaveBeenSent.Store(req.Resumed)
	rn.tr = vm.traces.getOrAdd(rn.id)
	ctx, cancel := context.WithCancelCause(vm.runCtx)
	rn.ctx, rn.cancel = ctx, cancel
	rn.absence = &absenceTimer{timeout: req.Class.StreamWait, clk: vm.Clock, onExpire: rn.abandon}
	rn.absence.Start()
	rn.answer.budget = vm.memoryBudget()
	rn.st.OnWatchers(rn.watchersChanged)
	return rn
}

// watchersChanged starts the absence timer when the last reader has left, and stops it
// when one returns.
func (rn *run) watchersChanged(watchers int) {
	rn.vm.runs.recount(rn)
	if watchers > 0 {
		rn.absence.Stop()
		if rn.callerLeft.Swap(false) {
			rn.tr.add(event.CallerReturned, "")
		}
		return
	}
	if _, final := rn.st.Len(); final {
		return
	}
	rn.callerLeft.Store(true)
	rn.tr.add(event.CallerLeft, "")
	rn.absence.Start()
}

// abandon ends the run because no caller returned for the answer in time.
func (rn *run) abandon() {
	rn.cancel(refusal.Refusal{
		Ran:    refusal.MayHaveRun,
		Reason: refusal.CallerGone,
		Detail: "nobody came back for the answer in time",
	})
}

// process runs the request until its answer has ended.
func (rn *run) process() {
	defer rn.releaseMemory() // after the request is dropped
	defer rn.vm.recordRunEnd(rn)
	defer rn.roleChanged.raise()
	defer rn.cancel(nil)
	ctx, stop := clock.WithDeadlineCause(rn.ctx, rn.vm.Clock, rn.deadline, refusal.Refusal{
		Ran:    refusal.MayHaveRun,
		Reason: refusal.DeadlinePassed,
		Detail: "the request's deadline passed",
	})
	defer stop()
	rn.tr.add(event.RequestAccepted, rn.req.Class.Name)
	rn.vm.earnRetryBudget(rn.id.Customer, rn.req.Class.Service)
	if err := rn.execute(ctx); err != nil {
		rn.refuse(ctx, err)
	} else {
		rn.recordSuccess()
		rn.logEnd()
		rn.vm.answerSizes.record(rn.answerClass(), rn.st.Size())
	}
	rn.absence.Stop()
}

// logEnd logs the end of a complete answer and how long it took.
func (rn *run) logEnd() {
	took := rn.vm.Clock.Now() - rn.arrived
	events, _ := rn.st.Len()
	rn.tr.add(event.RequestEnded, fmt.Sprintf("%d events", events))
	rn.vm.Log.Log(event.RequestEnded,
		event.F("Customer", rn.id.Customer),
		event.F("Class", rn.req.Class.Name),
		event.F("Followed", !rn.hasRole(running)),
		event.F("First", rn.firstPieceAt-rn.arrived),
		event.F("Took", took))
}

// execute claims the key and acts on the decision until the answer ends. A runner that
// lost its key to another VM, for example after a long pause, starts over and follows
// that VM.
func (rn *run) execute(ctx context.Context) error {
	if err := rn.reserveAnswer(ctx); err != nil {
		return err
	}
	var givenUp board.VMRef
	for pause := reopenDelay; ; pause = min(2*pause, maxFollowDelay) {
		err := rn.claimOnce(ctx, &givenUp)
		if err == nil || !errors.Is(err, errReclaim) {
			return err
		}
		if !clock.Sleep(ctx, pause) {
			return context.Cause(ctx)
		}
	}
}

// claimOnce makes one claim and acts on it. It returns errReclaim if the request must
// be claimed again.
func (rn *run) claimOnce(ctx context.Context, givenUp *board.VMRef) error {
	rn.setRole(searching)
	if rn.vm.seats.Load() == nil {
		return rn.executeWithoutSeats(ctx)
	}
	mine, lose := context.WithCancelCause(ctx)
	defer lose(nil)
	rn.claimed = rn.startClaim(*givenUp, func() { lose(errKeyLost) })
	defer rn.claimed.stopLater()
	dec, err := rn.claimed.awaitDecision(mine, 0)
	if err != nil {
		return err
	}
	switch dec.Verdict {
	case claim.Run, claim.TakeOver:
		rn.attempt, rn.claimUntil = int(dec.Attempt), dec.Until
		rn.setRole(running)
		if err := rn.serveClaimed(mine, dec); !errors.Is(context.Cause(mine), errKeyLost) {
			rn.reportOutcome(err)
			return err
		}
		return errReclaim
	case claim.Lost:
		return errReclaim
	case claim.Follow:
		rn.setRole(following)
		if err := rn.mayRun(); err != nil { // it runs at the other VM
			return err
		}
		return rn.followOnce(mine, dec, givenUp)
	case claim.Unavailable:
		if !rn.req.Class.Idempotent {
			return claimRefusal(dec)
		}
		rn.setRole(running)
		rn.assumeKeyMayHaveRun()
		return rn.serveClaimed(mine, dec)
	default:
		return claimRefusal(dec)
	}
}

// executeWithoutSeats runs a request while this VM does not know yet which VMs keep
// request keys. A request that may run at most once is refused, because it must wait
// for them.
func (rn *run) executeWithoutSeats(ctx context.Context) error {
	if !rn.req.Class.Idempotent {
		return refusal.Refusal{
			Ran:        ranBeforeClaim(rn.req),
			Reason:     refusal.Starting,
			RetryAfter: clock.Second,
			Detail:     "this VM does not know yet which VMs keep request keys",
		}
	}
	rn.claimed = rn.vm.newUnclaimed()
	rn.setRole(running)
	rn.assumeKeyMayHaveRun()
	return rn.serveClaimed(ctx, claim.Decided{Verdict: claim.Run})
}

// assumeKeyMayHaveRun records, for a request that runs without a claim, that the same
// key may have run before, because callers repeat requests.
func (rn *run) assumeKeyMayHaveRun() {
	if rn.req.KeyGiven {
		rn.mayHaveBeenSent.Store(true)
	}
}

// setRole sets the role and wakes the goroutines that wait for it.
func (rn *run) setRole(ro role) {
	rn.role.Store(int32(ro))
	rn.roleChanged.raise()
}

func (rn *run) hasRole(ro role) bool { return role(rn.role.Load()) == ro }

// awaitRoleDecision waits until the role is decided or the answer has ended.
func (rn *run) awaitRoleDecision(ctx context.Context) {
	for {
		turned := rn.roleChanged.wait()
		if _, final := rn.st.Len(); final || !rn.hasRole(searching) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-turned:
		}
	}
}

// followOnce forwards the answer of the VM that runs the request. If that VM can't be
// reached, its decode is read at the engine, which starts no new work.
func (rn *run) followOnce(ctx context.Context, dec claim.Decided, givenUp *board.VMRef) error {
	err := rn.follow(ctx, dec.Runner)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errAnswerExpired):
		return err
	case errors.Is(err, errUnknownKey):
		*givenUp = dec.Runner
	case rn.followDecode(ctx, rn.withDecode(dec)):
		return nil
	}
	return errReclaim
}

// serveClaimed runs the request under the claim. If the caller has a part of the answer, or
// if the claim was taken over from a lost VM, it continues the earlier answer where it can.
func (rn *run) serveClaimed(ctx context.Context, dec claim.Decided) error {
	if rn.arrivedDraining {
		return drainingRefusal()
	}
	if rn.mayHaveBeenSent.Load() || dec.Verdict == claim.TakeOver {
		if err := rn.mayRun(); err != nil {
			return err
		}
	}
	if rn.req.Resumed && dec.Verdict != claim.TakeOver {
		if rn.recoverAnswer(ctx) {
			return nil
		}
		return errAnswerExpired
	}
	if dec.Verdict == claim.TakeOver {
		rn.mayHaveBeenSent.Store(true) // the previous runner may have sent it
	}
	if rn.req.Plain != nil {
		return rn.runPlain(ctx)
	}
	if dec.Verdict == claim.TakeOver {
		rn.vm.Log.Log(event.RequestTakenOver, event.F("Customer", rn.id.Customer), event.F("Attempt", dec.Attempt))
		rn.tr.add(event.RequestTakenOver, dec.DecodeServer)
		if rn.resumeDecode(ctx, dec) || rn.recoverAnswer(ctx) {
			return nil
		}
		if !rn.req.Class.Idempotent || rn.req.Resumed {
			return refusal.Refusal{Reason: refusal.VMLost, Detail: "the VM that ran the request is lost"}
		}
	}
	return rn.runModel(ctx)
}

// reportOutcome reports to the seats how the key ended.
func (rn *run) reportOutcome(err error) {
	switch {
	case err == nil:
		rn.claimed.reportState(claim.StateChanged{State: claim.Complete})
	case !rn.mayHaveBeenSent.Load() || errors.Is(err, errAnswerExpired):
		rn.claimed.reportState(claim.StateChanged{State: claim.RefusedNotRun})
	}
}

// refuse ends the answer with the refusal for an error.
func (rn *run) refuse(ctx context.Context, err error) {
	rf := rn.refusalOf(ctx, err)
	if rn.st.Refuse(rf) != nil {
		return // the answer was complete before the error
	}
	rn.tr.add(event.RequestRefused, string(rf.Reason))
	rn.vm.Log.Log(event.RequestRefused,
		event.F("Customer", rn.id.Customer),
		event.F("Class", rn.req.Class.Name),
		event.F("Reason", rf.Reason),
		event.F("Ran", rf.Ran),
		event.F("Error", err.Error()))
}

// refusalOf returns the refusal for an error. A refusal of another VM or of the seats is
// kept unchanged, unless a backend server may have started the request.
func (rn *run) refusalOf(ctx context.Context, err error) refusal.Refusal {
	var rf refusal.Refusal
	if cause := context.Cause(ctx); !errors.As(cause, &rf) && !errors.As(err, &rf) {
		rf = refusal.Refusal{
			Ran:        refusal.MayHaveRun,
			Reason:     refusal.BackendFailed,
			RetryAfter: clock.Second,
			Detail:     "no backend server could finish the request",
		}
	}
	switch {
	case rn.mayHaveBeenSent.Load():
		return rf.WithRan(refusal.MayHaveRun)
	case rn.hasRole(running):
		return rf.WithRan(refusal.NotRun)
	default:
		return rf
	}
}

// claimRefusal returns the refusal for a verdict that does not let this VM run the request.
func claimRefusal(dec claim.Decided) refusal.Refusal {
	rf := refusal.Refusal{Ran: dec.Ran, Reason: dec.Reason}
	switch dec.Verdict {
	case claim.Unavailable:
		return rf.WithRetryAfter(2 * clock.Second).WithDetail("the VMs that account for the key can't be asked")
	case claim.Reused:
		return rf.WithDetail("the key belongs to another request")
	default:
		return rf.WithDetail("the key may have run at a VM that is lost")
	}
}

// isSelf reports whether a reference names this VM in its current incarnation.
func (vm *VM) isSelf(ref board.VMRef) bool { return ref == vm.Self }
