// Package retry decides whether a failed attempt of a request is followed by
// another, and whether a slow one is hedged.
//
// Retries multiply under overload, so each customer has a budget for each service.
// Each request earns a small fraction of a retry, and a slow refill provides for
// customers with few requests. A hedge is paid from the same budget. Backoff has
// full jitter, so that requests that failed together are not retried together.
// Nothing is retried past the request's deadline, and a request that is not
// idempotent is never retried once it may have run.
//
// # Usage
//
//	po := &retry.Policy{Rand: rand.New(rand.NewPCG(1, 2))}
//	po.RecordRequest(now, customer, service)
//	switch vd := po.Decide(now, attempt).(type) {
//	case retry.Retry:
//		... // wait vd.After, count vd.Reason
//	case retry.GiveUp:
//		... // answer vd.Refusal, count vd.Reason
//	}
//
// A Policy does no I/O and is not safe for concurrent use.
package retry

import (
	"math/rand/v2"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Reasons of verdicts. Each has its own counter, which is named after it.
const (
	RetriedNotRun     Reason = "RetriedNotRun"     // the attempt did not run
	RetriedIdempotent Reason = "RetriedIdempotent" // the attempt may have run; running twice is harmless
	Hedged            Reason = "Hedged"            // the attempt is slower than usual

	GaveUpMayHaveRun Reason = "GaveUpMayHaveRun" // not idempotent, and may have run
	GaveUpFinal      Reason = "GaveUpFinal"      // another attempt would fail in the same way
	GaveUpAttempts   Reason = "GaveUpAttempts"   // the largest number of attempts is reached
	GaveUpDeadline   Reason = "GaveUpDeadline"   // another attempt would pass the deadline
	GaveUpBudget     Reason = "GaveUpBudget"     // the budget is used up

	NoHedgeNotIdempotent Reason = "NoHedgeNotIdempotent" // two runs are not allowed
	NoHedgePatient       Reason = "NoHedgePatient"       // only quick requests are hedged
	NoHedgeUnknown       Reason = "NoHedgeUnknown"       // too few answers to tell what is slow
	NoHedgeDeadline      Reason = "NoHedgeDeadline"      // a hedge would pass the deadline
	NoHedgeBudget        Reason = "NoHedgeBudget"        // the budget is used up
)

// Defaults of the zero fields of [Settings].
const (
	DefaultRatio       = 0.1
	DefaultRefill      = 0.2
	DefaultBurst       = 5
	DefaultAttempts    = 3
	DefaultBaseBackoff = 25 * clock.Millis(1)
	DefaultMaxBackoff  = clock.Second
	DefaultRetryAfter  = clock.Second
)

type (
	// Reason is the reason of a verdict.
	Reason string

	// Settings configures a Policy. A zero field stands for its default.
	Settings struct {
		Ratio  float64 // retries earned per request
		Refill float64 // retries earned per second without requests
		Burst  float64 // largest number of retries that a budget holds
		// StartEmpty makes a budget start with what Refill has earned since the clock's
		// start instead of Burst, because a restarted process does not know what it
		// spent before.
		StartEmpty  bool
		Attempts    int          // largest number of attempts of a request, including the first
		BaseBackoff clock.Millis // bound of the first backoff; it doubles for each further one
		MaxBackoff  clock.Millis // largest bound of a backoff
		RetryAfter  clock.Millis // for callers whose request is given up
	}

	// Attempt is a failed attempt of a request.
	Attempt struct {
		Customer, Service string
		Idempotent        bool
		Number            int // of this attempt, counted from 1
		// Last is the refusal of this attempt. A retry waits for at least its RetryAfter.
		Last refusal.Refusal
		// EarlierMayHaveRun reports that an attempt before this one may have run, even
		// if this one did not.
		EarlierMayHaveRun bool
		Deadline          clock.Millis // point in time
		MinTime           clock.Millis // shortest span in which another attempt can succeed
		Cost              float64      // calls that another attempt makes; zero means one
	}

	// Verdict is the decision on a failed attempt: Retry or GiveUp.
	Verdict interface{ verdict() }

	// Retry means to try again after a span.
	Retry struct {
		After  clock.Millis
		Reason Reason
	}

	// GiveUp ends the request with a refusal. The refusal's Ran covers all attempts.
	GiveUp struct {
		Refusal refusal.Refusal
		Reason  Reason
	}

	// Policy decides about retries and hedges for one VM. Set the exported fields
	// before use.
	Policy struct {
		Rand     *rand.Rand // must be set
		Settings Settings

		ready   bool
		budgets map[account]*bucket
		latency map[string]*latencies
	}
)

func (Retry) verdict()  {}
func (GiveUp) verdict() {}

// RecordRequest earns the customer a fraction of a retry. Call it once for each
// request, not for its retries.
func (po *Policy) RecordRequest(now clock.Millis, customer, service string) {
	po.prepare()
	po.bucket(now, account{customer, service}).earn(po.Settings.Ratio, po.Settings.Burst)
}

// Decide decides what follows a failed attempt. The cost of a Retry is already taken
// from the budget.
func (po *Policy) Decide(now clock.Millis, at Attempt) Verdict {
	po.prepare()
	ran := refusal.NotRun
	if at.EarlierMayHaveRun || at.Last.Ran != refusal.NotRun {
		ran = refusal.MayHaveRun
	}
	last := at.Last.WithRan(ran)
	if ran == refusal.MayHaveRun && !at.Idempotent {
		return GiveUp{Refusal: last, Reason: GaveUpMayHaveRun}
	}
	if !isTransient(at.Last.Reason) {
		return GiveUp{Refusal: last, Reason: GaveUpFinal}
	}
	if at.Number >= po.Settings.Attempts {
		return GiveUp{Refusal: po.exhausted(last, "all attempts failed"), Reason: GaveUpAttempts}
	}
	after := at.Last.RetryAfter + po.backoff(at.Number)
	if now+after+at.MinTime >= at.Deadline {
		return GiveUp{Refusal: deadlinePassed(last), Reason: GaveUpDeadline}
	}
	if !po.bucket(now, account{at.Customer, at.Service}).spend(max(1, at.Cost)) {
		return GiveUp{Refusal: po.exhausted(last, "the budget for retries is used up"), Reason: GaveUpBudget}
	}
	if ran == refusal.NotRun {
		return Retry{After: after, Reason: RetriedNotRun}
	}
	return Retry{After: after, Reason: RetriedIdempotent}
}

// Spend pays for calls without a verdict, such as the second call of an attempt that
// makes two. It reports whether the budget was sufficient; otherwise nothing is spent.
func (po *Policy) Spend(now clock.Millis, customer, service string, cost float64) bool {
	po.prepare()
	return cost <= 0 || po.bucket(now, account{customer, service}).spend(cost)
}

// Balance returns the retries that the budget holds.
func (po *Policy) Balance(now clock.Millis, customer, service string) float64 {
	po.prepare()
	return po.bucket(now, account{customer, service}).tokens
}

// Refund returns what was paid for calls that were not made.
func (po *Policy) Refund(now clock.Millis, customer, service string, cost float64) {
	po.prepare()
	po.bucket(now, account{customer, service}).earn(cost, po.Settings.Burst)
}

// isTransient reports whether another attempt may succeed after a failure with the given
// reason. All other reasons are due to the request itself, or are returned to the caller
// at once because a retry would add load under overload.
func isTransient(rs refusal.Reason) bool {
	switch rs {
	case refusal.BackendFailed, refusal.NoBackend, refusal.SchedulerAway, refusal.HomeUnreachable, refusal.VMLost:
		return true
	default:
		return false
	}
}

// backoff returns a uniformly random span up to a bound that doubles with each attempt,
// up to Settings.MaxBackoff.
func (po *Policy) backoff(number int) clock.Millis {
	bound := po.Settings.BaseBackoff
	for range number - 1 {
		bound = min(2*bound, po.Settings.MaxBackoff)
	}
	return clock.Millis(po.Rand.Int64N(int64(bound) + 1))
}

// exhausted returns the refusal for a request that is not retried any more although
// another attempt might succeed.
func (po *Policy) exhausted(last refusal.Refusal, detail string) refusal.Refusal {
	last.Reason = refusal.RetriesExhausted
	return last.WithDetail(detail).WithRetryAfter(max(last.RetryAfter, po.Settings.RetryAfter))
}

// deadlinePassed returns the refusal for a request whose deadline leaves no time for
// another attempt.
func deadlinePassed(last refusal.Refusal) refusal.Refusal {
	last.Reason = refusal.DeadlinePassed
	return last.WithDetail("another attempt would end after the deadline").WithRetryAfter(0)
}

func (po *Policy) prepare() {
	if po.ready {
		return
	}
	po.ready = true
	po.budgets = make(map[account]*bucket)
	po.latency = make(map[string]*latencies)
	st := &po.Settings
	st.Ratio = orDefault(st.Ratio, DefaultRatio)
	st.Refill = orDefault(st.Refill, DefaultRefill)
	st.Burst = orDefault(st.Burst, DefaultBurst)
	st.Attempts = orDefault(st.Attempts, DefaultAttempts)
	st.BaseBackoff = orDefault(st.BaseBackoff, DefaultBaseBackoff)
	st.MaxBackoff = orDefault(st.MaxBackoff, DefaultMaxBackoff)
	st.RetryAfter = orDefault(st.RetryAfter, DefaultRetryAfter)
}

func orDefault[T int | float64 | clock.Millis](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}
