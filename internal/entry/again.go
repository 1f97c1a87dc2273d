package entry

import (
	"context"
	"errors"

	"alderdyke/internal/backend"
	"alderdyke/internal/event"
	"alderdyke/internal/retry"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// awaitRetry asks the retry policy about a failed attempt, the first being number
// zero, and waits for as long as the policy says. It returns nil if another
// attempt may follow, and otherwise why the request ends.
func (rn *run) awaitRetry(ctx context.Context, number int, err error) error {
	var rf refusal.Refusal
	if errors.As(err, &rf) {
		return err // decided where the request waited for its place
	}
	at := retry.Attempt{
		Customer:          rn.id.Customer,
		Service:           rn.req.Class.Service,
		Idempotent:        rn.req.Class.Idempotent,
		Number:            number + 1,
		Last:              rn.attemptRefusal(err),
		EarlierMayHaveRun: rn.mayHaveBeenSent.Load(),
		Deadline:          rn.deadline,
	}
	switch vd := rn.vm.decideRetry(at).(type) {
	case retry.Again:
		if !clock.Sleep(ctx, vd.After) {
			return context.Cause(ctx)
		}
		rn.tr.add(event.RequestRetried, string(vd.Reason))
		return nil
	case retry.GiveUp:
		return errors.Join(vd.Refusal, err)
	default:
		return err
	}
}

// attemptRefusal is the refusal that an attempt would end in.
func (rn *run) attemptRefusal(err error) refusal.Refusal {
	rf := refusal.Refusal{
		Ran:    refusal.NotRun,
		Reason: refusal.BackendFailed,
		Detail: "a backend server failed",
	}
	var declined backend.DeclinedError
	if errors.As(err, &declined) && !rn.avoidsPausedEngine(err) {
		rf.RetryAfter = declined.RetryAfter
	}
	if rn.mayHaveBeenSent.Load() {
		rf.Ran = refusal.MayHaveRun
	}
	return rf
}

// avoidsPausedEngine tells whether the next attempt keeps away from an engine that asked
// for rest: the accountant, which places it, was told.
func (rn *run) avoidsPausedEngine(err error) bool {
	_, rest := requestedPause(err)
	return rn.req.Chat != nil && rest > 0
}

// decideRetry asks the policy and counts its reason.
func (vm *VM) decideRetry(at retry.Attempt) retry.Verdict {
	vm.retries.mu.Lock()
	vd := vm.retries.Decide(vm.Clock.Now(), at)
	vm.retries.mu.Unlock()
	switch vd := vd.(type) {
	case retry.Again:
		vm.retries.count.Inc(at.Service, refusal.Reason(vd.Reason))
	case retry.GiveUp:
		vm.retries.count.Inc(at.Service, refusal.Reason(vd.Reason))
	}
	return vd
}

// earnRetryBudget notes a new request, which earns a part of a retry.
func (vm *VM) earnRetryBudget(customer, service string) {
	vm.retries.mu.Lock()
	defer vm.retries.mu.Unlock()
	vm.retries.Request(vm.Clock.Now(), customer, service)
}

// quickSchedulerTimeout is how long a quick request looks for its accountant: a part
// of the time to its first token.
func quickSchedulerTimeout(ttft clock.Millis) clock.Millis { return ttft / 4 }
