package retry

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

func policy(seed uint64) *Policy { return &Policy{Rand: rand.New(rand.NewPCG(seed, 1))} }

// attempt returns a failed attempt that may be retried.
func attempt() Attempt {
	return Attempt{Customer: "cu", Service: "svc", Idempotent: true, Number: 1, Deadline: clock.Minute, MinTime: 10,
		Last: refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.BackendFailed}}
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Attempt)
		reason Reason
		ran    refusal.Ran    // of a GiveUp
		why    refusal.Reason // of a GiveUp
	}{
		{"not run", func(*Attempt) {}, RetriedNotRun, "", ""},
		{"not run, not idempotent", func(at *Attempt) { at.Idempotent = false }, RetriedNotRun, "", ""},
		{"may have run, idempotent", func(at *Attempt) { at.Last.Ran = refusal.MayHaveRun }, RetriedIdempotent, "", ""},
		{"may have run, not idempotent", func(at *Attempt) { at.Idempotent, at.Last.Ran = false, refusal.MayHaveRun },
			GaveUpMayHaveRun, refusal.MayHaveRun, refusal.BackendFailed},
		{"earlier may have run, not idempotent", func(at *Attempt) { at.Idempotent, at.EarlierMayHaveRun = false, true },
			GaveUpMayHaveRun, refusal.MayHaveRun, refusal.BackendFailed},
		{"unknown whether it ran, not idempotent", func(at *Attempt) { at.Idempotent, at.Last.Ran = false, "" },
			GaveUpMayHaveRun, refusal.MayHaveRun, refusal.BackendFailed},
		{"faulty request", func(at *Attempt) { at.Last.Reason = refusal.TooLarge }, GaveUpFinal, refusal.NotRun, refusal.TooLarge},
		{"share used up", func(at *Attempt) { at.Last.Reason = refusal.ShareExceeded }, GaveUpFinal, refusal.NotRun, refusal.ShareExceeded},
		{"last attempt", func(at *Attempt) { at.Number = DefaultAttempts }, GaveUpAttempts, refusal.NotRun, refusal.RetriesExhausted},
		{"last attempt, earlier may have run", func(at *Attempt) { at.Number, at.EarlierMayHaveRun = DefaultAttempts, true },
			GaveUpAttempts, refusal.MayHaveRun, refusal.RetriesExhausted},
		{"no time left", func(at *Attempt) { at.Deadline = 10 }, GaveUpDeadline, refusal.NotRun, refusal.DeadlinePassed},
		{"server requests more time than is left", func(at *Attempt) { at.Last.RetryAfter = clock.Minute },
			GaveUpDeadline, refusal.NotRun, refusal.DeadlinePassed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			at := attempt()
			tc.change(&at)
			switch vd := policy(1).Decide(0, at).(type) {
			case Retry:
				assert.Equal(t, vd.Reason, tc.reason)
				assert.Assert(t, vd.After >= at.Last.RetryAfter && vd.After <= at.Last.RetryAfter+DefaultBaseBackoff)
			case GiveUp:
				assert.Equal(t, vd.Reason, tc.reason)
				assert.Equal(t, vd.Refusal.Ran, tc.ran)
				assert.Equal(t, vd.Refusal.Reason, tc.why)
			}
		})
	}
}

// If every attempt fails, the retries stay within the earned fraction of the requests.
func TestBudgetAtFullFailure(t *testing.T) {
	po := policy(2)
	const requests, spacing = 10_000, 10
	retries := map[string]int{}
	now := clock.Millis(0)
	for range requests {
		now += spacing
		for _, customer := range []string{"cu", "other"} {
			po.RecordRequest(now, customer, "svc")
			at := attempt()
			at.Customer, at.Deadline = customer, now+clock.Minute
			for {
				if _, again := po.Decide(now, at).(Retry); !again {
					break
				}
				retries[customer]++
				at.Number++
			}
		}
	}
	most := DefaultRatio*requests + DefaultRefill*float64(now)/1000 + DefaultBurst
	for customer, got := range retries {
		assert.Assert(t, float64(got) <= most+1 && float64(got) >= 0.95*most, "%s: %d retries, %f earned", customer, got, most)
	}
	t.Logf("%d requests, all attempts fail: %d retries (%.1f%%)", requests, retries["cu"], 100*float64(retries["cu"])/requests)
}

func TestBudgetsAreSeparate(t *testing.T) {
	po := policy(3)
	at := attempt()
	for range DefaultBurst {
		_, again := po.Decide(0, at).(Retry)
		assert.Assert(t, again)
	}
	spent := po.Decide(0, at).(GiveUp)
	assert.Equal(t, spent.Reason, GaveUpBudget)
	assert.Equal(t, spent.Refusal.RetryAfter, DefaultRetryAfter)
	at.Service = "another"
	_, again := po.Decide(0, at).(Retry)
	assert.Assert(t, again)
	at.Service = "svc"
	_, again = po.Decide(clock.Second*DefaultBurst, at).(Retry) // the refill earned one
	assert.Assert(t, again)
}

func TestBudgetsAreBounded(t *testing.T) {
	po := policy(4)
	for ix := range 3 * maxBudgets {
		po.RecordRequest(clock.Millis(ix)*clock.Second, string(rune(0x1000+ix)), "svc")
	}
	assert.Assert(t, len(po.budgets) <= maxBudgets)
}

// Any history of a request's attempts ends before the deadline, and a request that is
// not idempotent is never retried once it may have run.
func TestAttemptHistories(t *testing.T) {
	reasons := []refusal.Reason{refusal.BackendFailed, refusal.NoBackend, refusal.VMLost, refusal.BadRequest, refusal.QueueFull}
	rapid.Check(t, func(rt *rapid.T) {
		po := policy(rapid.Uint64().Draw(rt, "seed"))
		at := Attempt{Customer: "cu", Service: "svc", Idempotent: rapid.Bool().Draw(rt, "idempotent"), Number: 1,
			Deadline: clock.Millis(rapid.Int64Range(0, 3000).Draw(rt, "deadline")), MinTime: 5}
		now := clock.Millis(0)
		for {
			ran := rapid.SampledFrom([]refusal.Ran{refusal.NotRun, refusal.MayHaveRun}).Draw(rt, "ran")
			at.Last = refusal.Refusal{Ran: ran, Reason: rapid.SampledFrom(reasons).Draw(rt, "reason"),
				RetryAfter: clock.Millis(rapid.Int64Range(0, 500).Draw(rt, "retry after"))}
			mayHaveRun := at.EarlierMayHaveRun || ran == refusal.MayHaveRun
			switch vd := po.Decide(now, at).(type) {
			case Retry:
				now += vd.After
				checkRetry(rt, now, at, mayHaveRun)
				at.Number++
				at.EarlierMayHaveRun = mayHaveRun
				now += clock.Millis(rapid.Int64Range(0, 300).Draw(rt, "took"))
			case GiveUp:
				checkGiveUp(rt, vd, at, mayHaveRun)
				return
			}
		}
	})
}

// checkRetry checks that a retry was permitted.
func checkRetry(rt *rapid.T, now clock.Millis, at Attempt, mayHaveRun bool) {
	if mayHaveRun && !at.Idempotent {
		rt.Fatal("retried although it may have run")
	}
	if now+at.MinTime >= at.Deadline {
		rt.Fatalf("retry at %d, deadline %d", now, at.Deadline)
	}
}

// checkGiveUp checks what the final refusal says and the number of attempts.
func checkGiveUp(rt *rapid.T, vd GiveUp, at Attempt, mayHaveRun bool) {
	if (vd.Refusal.Ran == refusal.NotRun) == mayHaveRun {
		rt.Fatalf("refusal says %s", vd.Refusal.Ran)
	}
	if at.Number > DefaultAttempts {
		rt.Fatalf("%d attempts", at.Number)
	}
}

func TestBackoffIsSpread(t *testing.T) {
	po := policy(5)
	po.prepare()
	var low, high int
	for range 1000 {
		switch span := po.backoff(3); {
		case span < 0 || span > 4*DefaultBaseBackoff:
			t.Fatalf("backoff of %s", span)
		case span < 2*DefaultBaseBackoff:
			low++
		default:
			high++
		}
	}
	assert.Assert(t, low > 400 && high > 400, "%d low, %d high", low, high)
	assert.Assert(t, po.backoff(40) <= DefaultMaxBackoff)
}

// hedgeRequest returns a request that may be hedged.
func hedgeRequest() HedgeRequest {
	return HedgeRequest{Customer: "cu", Service: "svc", Idempotent: true, Quick: true, Deadline: clock.Minute}
}

func TestHedge(t *testing.T) {
	po := policy(6)
	assert.Equal(t, po.Hedge(0, hedgeRequest()), Hedging(NoHedge{NoHedgeUnknown}))
	for ix := range 100 {
		po.ObserveLatency("svc", clock.Millis(ix%20+1))
	}
	assert.Equal(t, po.Hedge(0, hedgeRequest()), Hedging(Hedge{After: 19}))
	cases := map[Reason]func(*HedgeRequest){
		NoHedgeNotIdempotent: func(ha *HedgeRequest) { ha.Idempotent = false },
		NoHedgePatient:       func(ha *HedgeRequest) { ha.Quick = false },
		NoHedgeUnknown:       func(ha *HedgeRequest) { ha.Service = "another" },
		NoHedgeDeadline:      func(ha *HedgeRequest) { ha.Deadline = 15 },
	}
	for want, change := range cases {
		req := hedgeRequest()
		change(&req)
		assert.Equal(t, po.Hedge(0, req), Hedging(NoHedge{want}))
		got, ok := po.SpendHedge(0, req)
		assert.Assert(t, !ok)
		assert.Equal(t, got, want)
	}
}

// Hedges are paid from the budget: if all answers become slow at once, their number
// stays within the earned fraction of the requests.
func TestHedgesAreBudgeted(t *testing.T) {
	po := policy(7)
	for range minSamples {
		po.ObserveLatency("svc", 10)
	}
	const requests = 5000
	hedges := 0
	now := clock.Millis(0)
	for range requests {
		now += 10
		po.RecordRequest(now, "cu", "svc")
		req := hedgeRequest()
		req.Deadline = now + clock.Second
		if why, ok := po.SpendHedge(now+10, req); ok {
			hedges++
		} else {
			assert.Equal(t, why, NoHedgeBudget)
		}
	}
	most := DefaultRatio*requests + DefaultRefill*float64(now+10)/1000 + DefaultBurst
	assert.Assert(t, float64(hedges) <= most+1, "%d hedges", hedges)
	t.Logf("%d requests, all slow: %d hedges (%.1f%%)", requests, hedges, 100*float64(hedges)/requests)
}

// Spent retries are unavailable until they are refunded, and no more can be spent than
// the budget holds.
func TestSpendAndRefund(t *testing.T) {
	po := policy(1)
	assert.Equal(t, po.Balance(0, "cu", "svc"), float64(DefaultBurst))
	assert.Assert(t, po.Spend(0, "cu", "svc", DefaultBurst-1))
	assert.Assert(t, !po.Spend(0, "cu", "svc", 2))
	assert.Assert(t, po.Spend(0, "cu", "svc", 0))
	assert.Equal(t, po.Balance(0, "cu", "svc"), 1.0)
	po.Refund(0, "cu", "svc", 1)
	assert.Assert(t, po.Spend(0, "cu", "svc", 2))
	po.Refund(0, "cu", "svc", 2*DefaultBurst)
	assert.Equal(t, po.Balance(0, "cu", "svc"), float64(DefaultBurst), "a refund does not exceed the burst")
	assert.Equal(t, po.Balance(0, "cu", "other"), float64(DefaultBurst))
}
