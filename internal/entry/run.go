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
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	// claimTimeout bounds the search for the VMs that account for a key.
	claimTimeout = 3 * clock.Second
	// followPause is the longest pause before a lost runner is looked for
	// again; it may still be held alive.
	followPause = 800 * clock.Millis(1)
)

// Roles.
const (
	searching role = iota // it is not decided yet
	running
	following
)

var (
	// errNotKept ends the request of a caller who has a part of an answer
	// that nobody has any more. A fresh run could make another answer.
	errNotKept = refusal.Refusal{
		Ran:    refusal.MayHaveRun,
		Reason: refusal.AnswerExpired,
		Detail: "the answer that the caller has a part of is no longer kept",
	}

	errAgain = errors.New("the key must be claimed anew")
	errLost  = errors.New("another VM took the request over")
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

		claimed  *claimant    // link to the seats of the key
		followed board.VMRef  // the runner that was followed last
		attempt  int          // number of the claim that this VM runs under
		until    clock.Millis // up to when the claim stands unconfirmed
		first    clock.Millis // when the first piece of the answer came; zero before it
		late     bool         // came while this VM was leaving; it may only be followed
		sent     atomic.Bool  // a backend server may have begun, here or for another VM
		role     atomic.Int32 // of type role
		turned   signal       // the role changed, or the answer has its end
		left     atomic.Bool  // the caller's connection broke
		away     *absence     // ends the run when no caller came back
	}

	// role is what this VM does for a request.
	role int32

	// failure is the end of one attempt at backend servers.
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
	rn.sent.Store(req.Resumed)
	rn.tr = vm.traces.of(rn.id)
	ctx, cancel := context.WithCancelCause(vm.runCtx)
	rn.ctx, rn.cancel = ctx, cancel
	rn.away = &absence{wait: req.Class.StreamWait, clk: vm.Clock, gone: rn.abandon}
	rn.away.Start()
	rn.st.OnWatchers(rn.watch)
	return rn
}

// watch starts to wait for the caller when the last reader left, and stops
// waiting when one is back.
func (rn *run) watch(watchers int) {
	if watchers > 0 {
		rn.away.Stop()
		if rn.left.Swap(false) {
			rn.tr.add(event.CallerReturned, "")
		}
		return
	}
	if _, final := rn.st.Len(); final {
		return
	}
	rn.left.Store(true)
	rn.tr.add(event.CallerLeft, "")
	rn.away.Start()
}

func (rn *run) abandon() {
	rn.cancel(refusal.Refusal{
		Ran:    refusal.MayHaveRun,
		Reason: refusal.CallerGone,
		Detail: "nobody came back for the answer in time",
	})
}

// live runs the request to its one end.
func (rn *run) live() {
	defer rn.vm.ended(rn)
	defer rn.turned.raise()
	defer rn.cancel(nil)
	ctx, stop := clock.WithDeadlineCause(rn.ctx, rn.vm.Clock, rn.deadline, refusal.Refusal{
		Ran:    refusal.MayHaveRun,
		Reason: refusal.DeadlinePassed,
		Detail: "the request's deadline passed",
	})
	defer stop()
	rn.tr.add(event.RequestAccepted, rn.req.Class.Name)
	rn.vm.earnRetry(rn.id.Customer, rn.req.Class.Service)
	if err := rn.execute(ctx); err != nil {
		rn.refuse(ctx, err)
	} else {
		rn.recordSuccess()
		rn.done()
	}
	rn.away.Stop()
}

// done notes the end of a whole answer, and how long it took.
func (rn *run) done() {
	took := rn.vm.Clock.Now() - rn.arrived
	events, _ := rn.st.Len()
	rn.tr.add(event.RequestEnded, fmt.Sprintf("%d events", events))
	rn.vm.Log.Log(event.RequestEnded,
		event.F("Customer", rn.id.Customer),
		event.F("Class", rn.req.Class.Name),
		event.F("Followed", !rn.is(running)),
		event.F("First", rn.first-rn.arrived),
		event.F("Took", took))
}

// execute claims the key and does what the claim says, until the answer has
// its end. A runner that lost its key to another VM, as after a long pause,
// starts over and follows that VM.
func (rn *run) execute(ctx context.Context) error {
	var givenUp board.VMRef
	for pause := reopenPause; ; pause = min(2*pause, followPause) {
		err := rn.once(ctx, &givenUp)
		if err == nil || !errors.Is(err, errAgain) {
			return err
		}
		if !clock.Sleep(ctx, pause) {
			return context.Cause(ctx)
		}
	}
}

// once makes one claim and acts on it. It returns errAgain if the request
// must be claimed anew.
func (rn *run) once(ctx context.Context, givenUp *board.VMRef) error {
	rn.become(searching)
	if rn.vm.seats.Load() == nil {
		return rn.withoutSeats(ctx)
	}
	mine, lose := context.WithCancelCause(ctx)
	defer lose(nil)
	rn.claimed = rn.claim(*givenUp, func() { lose(errLost) })
	defer rn.claimed.end()
	dec, err := rn.claimed.verdict(mine, 0)
	if err != nil {
		return err
	}
	switch dec.Verdict {
	case claim.Run, claim.TakeOver:
		rn.attempt, rn.until = int(dec.Attempt), dec.Until
		rn.become(running)
		if err := rn.serve(mine, dec); !errors.Is(context.Cause(mine), errLost) {
			rn.report(err)
			return err
		}
		return errAgain
	case claim.Lost:
		return errAgain
	case claim.Follow:
		rn.become(following)
		return rn.followOnce(mine, dec, givenUp)
	case claim.Unavailable:
		if !rn.req.Class.Idempotent {
			return claimRefusal(dec)
		}
		rn.become(running)
		rn.doubtGivenKey()
		return rn.serve(mine, dec)
	default:
		return claimRefusal(dec)
	}
}

// withoutSeats runs a request while this VM does not know yet which VMs keep
// request keys. What may run at most once has to wait for that.
func (rn *run) withoutSeats(ctx context.Context) error {
	if !rn.req.Class.Idempotent {
		return refusal.Refusal{
			Ran:        unasked(rn.req),
			Reason:     refusal.Starting,
			RetryAfter: clock.Second,
			Detail:     "this VM does not know yet which VMs keep request keys",
		}
	}
	rn.claimed = rn.vm.noClaim()
	rn.become(running)
	rn.doubtGivenKey()
	return rn.serve(ctx, claim.Decided{Verdict: claim.Run})
}

// doubtGivenKey notes, for a request that runs without its seats' word, that
// the same key may have run before: callers send one again.
func (rn *run) doubtGivenKey() {
	if rn.req.KeyGiven {
		rn.sent.Store(true)
	}
}

// become sets the role and tells those who wait for it.
func (rn *run) become(ro role) {
	rn.role.Store(int32(ro))
	rn.turned.raise()
}

func (rn *run) is(ro role) bool { return role(rn.role.Load()) == ro }

// settled waits until the role is decided or the answer has its end.
func (rn *run) settled(ctx context.Context) {
	for {
		turned := rn.turned.wait()
		if _, final := rn.st.Len(); final || !rn.is(searching) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-turned:
		}
	}
}

// followOnce passes on the answer of the VM that runs the request. If that VM
// can't be reached, its decode is read on at the engine, which starts nothing.
func (rn *run) followOnce(ctx context.Context, dec claim.Decided, givenUp *board.VMRef) error {
	err := rn.follow(ctx, dec.Runner)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNotKept):
		return err
	case errors.Is(err, errUnknownKey):
		*givenUp = dec.Runner
	case rn.readOn(ctx, rn.named(dec)):
		return nil
	}
	return errAgain
}

func (rn *run) serve(ctx context.Context, dec claim.Decided) error {
	if rn.late {
		return drainingRefusal()
	}
	if rn.req.Resumed && dec.Verdict != claim.TakeOver {
		if rn.rescue(ctx) {
			return nil
		}
		return errNotKept
	}
	if dec.Verdict == claim.TakeOver {
		rn.sent.Store(true) // the VM before this one may have sent it
	}
	if rn.req.Plain != nil {
		return rn.plain(ctx)
	}
	if dec.Verdict == claim.TakeOver {
		rn.vm.Log.Log(event.RequestTakenOver, event.F("Customer", rn.id.Customer), event.F("Attempt", dec.Attempt))
		rn.tr.add(event.RequestTakenOver, dec.DecodeServer)
		if rn.resume(ctx, dec) || rn.rescue(ctx) {
			return nil
		}
		if !rn.req.Class.Idempotent || rn.req.Resumed {
			return refusal.Refusal{Reason: refusal.VMLost, Detail: "the VM that ran the request is lost"}
		}
	}
	return rn.model(ctx)
}

// report tells the seats how the key ended.
func (rn *run) report(err error) {
	switch {
	case err == nil:
		rn.claimed.became(claim.StateChanged{State: claim.Complete})
	case !rn.sent.Load() || errors.Is(err, errNotKept):
		rn.claimed.became(claim.StateChanged{State: claim.RefusedNotRun})
	}
}

// refuse ends the answer with the truth about an error.
func (rn *run) refuse(ctx context.Context, err error) {
	rf := rn.refusalOf(ctx, err)
	if rn.st.Refuse(rf) != nil {
		return // the answer was whole before the error
	}
	rn.tr.add(event.RequestRefused, string(rf.Reason))
	rn.vm.Log.Log(event.RequestRefused,
		event.F("Customer", rn.id.Customer),
		event.F("Class", rn.req.Class.Name),
		event.F("Reason", rf.Reason),
		event.F("Ran", rf.Ran),
		event.F("Error", err.Error()))
}

// refusalOf is the truth about an error. What another VM or its seats said
// stands as it is, unless a backend server may have begun the request.
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
	case rn.sent.Load():
		return rf.WithRan(refusal.MayHaveRun)
	case rn.is(running):
		return rf.WithRan(refusal.NotRun)
	default:
		return rf
	}
}

// claimRefusal is the refusal that a verdict other than to run stands for.
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

// self tells whether a VM reference is this run of this VM.
func (vm *VM) self(ref board.VMRef) bool { return ref == vm.Self }
