package retry

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// storm simulates a server that answers one request at a time, in order, including
// those whose callers have given up, and callers who give up an attempt after a
// timeout.
type storm struct {
	policy         *Policy
	queue          []*sentAttempt
	retries        map[clock.Millis][]*sentAttempt
	answeredInTime map[clock.Millis]int // number of answers, by second
	computed       int                  // all answers, including late ones
}

// sentAttempt is an attempt in the server's queue.
type sentAttempt struct {
	at       Attempt
	began    clock.Millis
	answered bool
}

const (
	stormServiceTime = clock.Millis(10) // the server answers 100 requests per second
	stormInterval    = clock.Millis(16) // 62 requests per second
	stormTimeout     = clock.Millis(500)
	stormStall       = 20 * clock.Second // when the server stalls
	stormStallEnd    = 23 * clock.Second
	stormSpan        = clock.Minute
)

func (sm *storm) run() {
	sm.retries, sm.answeredInTime = map[clock.Millis][]*sentAttempt{}, map[clock.Millis]int{}
	for now := clock.Millis(0); now < stormSpan; now++ {
		if now%stormInterval == 0 {
			sm.policy.RecordRequest(now, "cu", "svc")
			sm.send(now, Attempt{Customer: "cu", Service: "svc", Idempotent: true, Number: 1, Deadline: now + 10*clock.Second})
		}
		for _, se := range sm.retries[now] {
			sm.send(now, se.at)
		}
		delete(sm.retries, now)
		if now%stormServiceTime == 0 && len(sm.queue) > 0 && (now < stormStall || now >= stormStallEnd) {
			sm.answer(now)
		}
		sm.giveUp(now)
	}
}

func (sm *storm) send(now clock.Millis, at Attempt) {
	sm.queue = append(sm.queue, &sentAttempt{at: at, began: now})
}

// answer answers the first attempt in the queue.
func (sm *storm) answer(now clock.Millis) {
	se := sm.queue[0]
	sm.queue = sm.queue[1:]
	sm.computed++
	if now-se.began <= stormTimeout {
		se.answered = true
		sm.answeredInTime[now/clock.Second]++
	}
}

// giveUp lets the policy decide about the attempts that reach the callers' timeout.
func (sm *storm) giveUp(now clock.Millis) {
	for _, se := range sm.queue {
		if now-se.began != stormTimeout+1 {
			continue
		}
		se.at.Last = refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed}
		if rt, ok := sm.policy.Decide(now, se.at).(Retry); ok {
			next := *se
			next.at.Number++
			when := now + max(rt.After, 1)
			sm.retries[when] = append(sm.retries[when], &next)
		}
	}
}

// goodput returns the answers in time per request in a span given in seconds.
func (sm *storm) goodput(from, to clock.Millis) float64 {
	sum := 0
	for sec := from; sec < to; sec++ {
		sum += sm.answeredInTime[sec]
	}
	return float64(sum) * float64(stormInterval) / float64((to-from)*clock.Second)
}

// recoverySeconds returns the number of seconds from the end of the stall until goodput is
// full again, or -1 if it never is.
func (sm *storm) recoverySeconds() clock.Millis {
	for sec := stormStallEnd / clock.Second; sec < stormSpan/clock.Second; sec++ {
		if sm.goodput(sec, stormSpan/clock.Second) > 0.99 {
			return sec - stormStallEnd/clock.Second
		}
	}
	return -1
}

// A server stalls for three seconds. With the budget it returns to full goodput by
// itself. If retries are bounded only by the number of attempts, it never does.
func TestServiceRecoversAfterStall(t *testing.T) {
	free := policy(1)
	free.Settings = Settings{Ratio: 10, Refill: 1000, Burst: 1e6}
	budgeted := policy(1)
	for _, tc := range []struct {
		name    string
		policy  *Policy
		recover bool
	}{{"budgeted", budgeted, true}, {"without budget", free, false}} {
		sm := &storm{policy: tc.policy}
		sm.run()
		before, after := sm.goodput(10, 20), sm.goodput(45, 60)
		t.Logf("%-14s: goodput %.2f before the stall, %.2f from 22 s after it, full after %d s; %d answers computed",
			tc.name, before, after, sm.recoverySeconds(), sm.computed)
		assert.Assert(t, before > 0.99, "%f", before)
		if tc.recover {
			assert.Assert(t, after > 0.99, "%f", after)
		} else {
			assert.Assert(t, after < 0.1, "%f", after)
		}
	}
}
