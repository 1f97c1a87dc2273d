// Package retry decides whether a failed attempt of a request is followed by
// another, and whether a slow one is hedged.
//
// Retries multiply under overload, so each customer has a budget for each
// service: requests earn a small part of a retry each, and a slow refill
// keeps a quiet customer from going without. A hedge is paid from the same
// budget. Backoff is drawn with full jitter, so that those who failed
// together don't come back together. Nothing is tried past the request's
// deadline, and a request that is not idempotent is never tried again once it
// may have run.
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

// Reasons of verdicts; each has a counter of its own, named after it.
const (
	RetriedNotRun     Reason = "RetriedNotRun"     // the attempt did not run
	RetriedIdempotent Reason = "RetriedIdempotent" // the attempt may have run; running twice does no harm
	Hedged            Reason = "Hedged"            // the attempt is slower than usual

	GaveUpMayHaveRun Reason = "GaveUpMayHaveRun" // not idempotent, and may have run
	GaveUpFinal      Reason = "GaveUpFinal"      // the failure would be the same again
	GaveUpAttempts   Reason = "GaveUpAttempts"   // as many attempts as allowed
	GaveUpDeadline   Reason = "GaveUpDeadline"   // another attempt would pass the deadline
	GaveUpBudget     Reason = "GaveUpBudget"     // the budget is used up

	NoHedgeNotIdempotent Reason = "NoHedgeNotIdempotent" // two runs are not allowed
	NoHedgePatient       Reason = "NoHedgePatient"       // only quick requests are hedged
	NoHedgeUnknown       Reason = "NoHedgeUnknown"       // too few answers to know what is slow
	NoHedgeDeadline      Reason = "NoHedgeDeadline"      // a hedge would pass the deadline
	NoHedgeBudget        Reason = "NoHedgeBudget"        // the budget is used up
)

// What the zero value of a field of [Settings] stands for.
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
	// Reason of a verdict.
	Reason string

	// Settings of a Policy. A zero field stands for its default.
	Settings struct {
		Ratio  float64 // retries earned by one request
		Refill float64 // retries earned in a second without requests
		Burst  float64 // most retries that are kept
		// StartEmpty has a budget hold at first what Refill has earned since the
		// clock's start, and not Burst: whoever starts again does not know what it
		// has spent before.
		StartEmpty  bool
		Attempts    int          // most attempts of one request, the first included
		BaseBackoff clock.Millis // bound of the first backoff; the next ones double
		MaxBackoff  clock.Millis // largest bound of a backoff
		RetryAfter  clock.Millis // told to a caller who was given up
	}

	// Attempt is a failed attempt of a request.
	Attempt struct {
		Customer, Service string
		Idempotent        bool
		Number            int // of this attempt, from 1
		// Last is how the attempt failed. Its RetryAfter is heeded.
		Last refusal.Refusal
		// EarlierMayHaveRun tells that an attempt before this one may have
		// run, whatever became of the last.
		EarlierMayHaveRun bool
		Deadline          clock.Millis // point
		MinTime           clock.Millis // the least span in which another attempt can be of use
		Cost              float64      // calls that another attempt makes; zero means one
	}

	// Verdict on a failed attempt: Retry or GiveUp.
	Verdict interface{ verdict() }

	// Retry tells to try again after a span.
	Retry struct {
		After  clock.Millis
		Reason Reason
	}

	// GiveUp ends the request with a refusal, whose Ran speaks for all of
	// its attempts.
	GiveUp struct {
		Refusal refusal.Refusal
		Reason  Reason
	}

	// Policy decides for one VM. Set the exported fields before use.
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

// RecordRequest earns the customer a part of a retry. Call it once for each
// request, not for its retries.
func (po *Policy) RecordRequest(now clock.Millis, customer, service string) {
	po.prepare()
	po.bucket(now, account{customer, service}).earn(po.Settings.Ratio, po.Settings.Burst)
}

// Decide tells what follows a failed attempt. A Retry has been paid for.
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

// Spend pays for calls that follow no verdict, such as the second of an attempt that
// makes two, and tells whether the budget held as much.
func (po *Policy) Spend(now clock.Millis, customer, service string, cost float64) bool {
	po.prepare()
	return cost <= 0 || po.bucket(now, account{customer, service}).spend(cost)
}

// Balance is what the budget holds.
func (po *Policy) Balance(now clock.Millis, customer, service string) float64 {
	po.prepare()
	return po.bucket(now, account{customer, service}).tokens
}

// Refund gives back what was paid for calls that were not made.
func (po *Policy) Refund(now clock.Millis, customer, service string, cost float64) {
	po.prepare()
	po.bucket(now, account{customer, service}).earn(cost, po.Settings.Burst)
}

// isTransient tells whether a failure may be gone at the next attempt. All other
// reasons lie with the request, or are told to the caller at once because
// more load is what must not come.
func isTransient(rs refusal.Reason) bool {
	switch rs {
	case refusal.BackendFailed, refusal.NoBackend, refusal.SchedulerAway, refusal.HomeUnreachable, refusal.VMLost:
		return true
	default:
		return false
	}
}

// backoff is drawn evenly from nothing up to a bound that doubles.
func (po *Policy) backoff(number int) clock.Millis {
	bound := po.Settings.BaseBackoff
	for range number - 1 {
		bound = min(2*bound, po.Settings.MaxBackoff)
	}
	return clock.Millis(po.Rand.Int64N(int64(bound) + 1))
}

func (po *Policy) exhausted(last refusal.Refusal, detail string) refusal.Refusal {
	last.Reason = refusal.RetriesExhausted
	return last.WithDetail(detail).WithRetryAfter(max(last.RetryAfter, po.Settings.RetryAfter))
}

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
