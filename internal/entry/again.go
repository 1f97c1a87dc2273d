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

// awaitRetry applies the retry policy to a failed attempt and waits for the
// backoff that the policy sets. The first attempt has number zero. It returns nil
// if another attempt may follow, and otherwise the error that ends the request.
func (rn *run) awaitRetry(ctx context.Context, number int, err error) error {
	var rf refusal.Refusal
	if errors.As(err, &rf) {
		return err // a refusal, for example of the scheduler, is final
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
	case retry.Retry:
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

// attemptRefusal returns the refusal that the request would end with after this attempt.
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

// avoidsPausedEngine reports whether the next attempt avoids an engine that
// requested a pause. The scheduler places that attempt and was notified.
func (rn *run) avoidsPausedEngine(err error) bool {
	_, rest := requestedPause(err)
	return rn.req.Chat != nil && rest > 0
}

// decideRetry applies the retry policy and counts its reason.
func (vm *VM) decideRetry(at retry.Attempt) retry.Verdict {
	vm.retries.mu.Lock()
	vd := vm.retries.Decide(vm.Clock.Now(), at)
	vm.retries.mu.Unlock()
	switch vd := vd.(type) {
	case retry.Retry:
		vm.retries.count.Inc(at.Service, refusal.Reason(vd.Reason))
	case retry.GiveUp:
		vm.retries.count.Inc(at.Service, refusal.Reason(vd.Reason))
	}
	return vd
}

// earnRetryBudget records a new request, which adds a fraction of a retry to the budget.
func (vm *VM) earnRetryBudget(customer, service string) {
	vm.retries.mu.Lock()
	defer vm.retries.mu.Unlock()
	vm.retries.RecordRequest(vm.Clock.Now(), customer, service)
}

// quickSchedulerTimeout is how long a quick request tries to reach its scheduler:
// a fraction of its time to first token.
func quickSchedulerTimeout(ttft clock.Millis) clock.Millis { return ttft / 4 }
