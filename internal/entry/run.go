package entry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"alderdyke/internal/answer"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/claim"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// claimPatience bounds the search for the VMs that account for a key.
const claimPatience = 3 * clock.Second

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

		attempt int         // number of the claim that this VM runs under
		sent    atomic.Bool // a backend server may have begun
		runner  atomic.Bool // this VM runs the request, it does not follow another
		away    *time.Timer // ends the run when no caller came back
	}

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
	rn.tr = vm.traces.of(rn.id)
	ctx, cancel := context.WithCancelCause(vm.runCtx)
	rn.ctx, rn.cancel = ctx, cancel
	rn.away = time.AfterFunc(req.Class.StreamWait.Std(), rn.abandon)
	rn.st.OnWatchers(rn.watch)
	return rn
}

// watch starts to wait for the caller when the last reader left, and stops
// waiting when one is back.
func (rn *run) watch(watchers int) {
	if watchers > 0 {
		rn.away.Stop()
		return
	}
	if _, final := rn.st.Len(); final {
		return
	}
	rn.tr.add(event.CallerLeft, "")
	rn.away.Reset(rn.req.Class.StreamWait.Std())
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
	defer rn.cancel(nil)
	ctx, stop := context.WithTimeoutCause(rn.ctx, (rn.deadline - rn.vm.Clock.Now()).Std(), refusal.Refusal{
		Ran:    refusal.MayHaveRun,
		Reason: refusal.DeadlinePassed,
		Detail: "the request's deadline passed",
	})
	defer stop()
	rn.tr.add(event.RequestAccepted, rn.req.Class.Name)
	if err := rn.execute(ctx); err != nil {
		rn.refuse(ctx, err)
	}
	rn.away.Stop()
}

// execute claims the key and does what the claim says, until the answer has
// its end.
func (rn *run) execute(ctx context.Context) error {
	for {
		dec := rn.vm.claimKey(ctx, rn)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		switch dec.Verdict {
		case claim.Run, claim.TakeOver:
			rn.attempt = int(dec.Attempt)
			rn.runner.Store(true)
			return rn.serve(ctx, dec)
		case claim.Follow:
			if err := rn.follow(ctx, dec.Runner); err == nil {
				return nil
			}
			if !sleep(ctx, reopenPause) {
				return context.Cause(ctx)
			}
		case claim.Unavailable:
			if !rn.req.Class.Idempotent {
				return claimRefusal(dec)
			}
			rn.runner.Store(true)
			return rn.serve(ctx, dec)
		default:
			return claimRefusal(dec)
		}
	}
}

func (rn *run) serve(ctx context.Context, dec claim.Decided) error {
	if rn.req.Plain != nil {
		return rn.plain(ctx)
	}
	if dec.Verdict == claim.TakeOver {
		rn.vm.lg.Log(event.RequestTakenOver, event.F("Customer", rn.id.Customer), event.F("Attempt", dec.Attempt))
		rn.tr.add(event.RequestTakenOver, dec.DecodeServer)
		if rn.resume(ctx, dec) {
			return nil
		}
	}
	return rn.model(ctx)
}

// refuse ends the answer with the truth about an error.
func (rn *run) refuse(ctx context.Context, err error) {
	rf := rn.refusalOf(ctx, err)
	if rn.st.Refuse(rf) != nil {
		return // the answer was whole before the error
	}
	rn.tr.add(event.RequestRefused, string(rf.Reason))
	rn.vm.lg.Log(event.RequestRefused,
		event.F("Customer", rn.id.Customer),
		event.F("Class", rn.req.Class.Name),
		event.F("Reason", rf.Reason),
		event.F("Ran", rf.Ran),
		event.F("Error", err.Error()))
}

func (rn *run) refusalOf(ctx context.Context, err error) refusal.Refusal {
	var rf refusal.Refusal
	if cause := context.Cause(ctx); !errors.As(cause, &rf) && !errors.As(err, &rf) {
		rf = refusal.Refusal{
			Ran:        refusal.NotRun,
			Reason:     refusal.BackendFailed,
			RetryAfter: clock.Second,
			Detail:     "no backend server could finish the request",
		}
	}
	if !rn.runner.Load() {
		return rf
	}
	if rn.sent.Load() {
		return rf.WithRan(refusal.MayHaveRun)
	}
	return rf.WithRan(refusal.NotRun)
}

func claimRefusal(dec claim.Decided) refusal.Refusal {
	rf := refusal.Refusal{Ran: refusal.MayHaveRun, Reason: dec.Reason, Detail: "the request key can't be run"}
	switch dec.Verdict {
	case claim.Unavailable:
		return rf.WithRan(refusal.NotRun).WithRetryAfter(2 * clock.Second).
			WithDetail("the VMs that account for the key can't be asked")
	case claim.Reused:
		return rf.WithRan(refusal.NotRun).WithDetail("the key belongs to another request")
	case claim.InDoubt:
		return rf.WithDetail("the key may have run at a VM that is lost")
	default:
		return rf
	}
}

// self tells whether a VM reference is this run of this VM.
func (vm *VM) self(ref board.VMRef) bool { return ref == vm.Self }
