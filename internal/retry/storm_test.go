package retry

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// storm is a server that answers one request at a time, in order, also those
// that nobody waits for any more, and callers who give an attempt up after a
// while.
type storm struct {
	policy         *Policy
	queue          []*sentAttempt
	retries        map[clock.Millis][]*sentAttempt
	answeredInTime map[clock.Millis]int // answers in time, by second
	computed       int                  // all that the server did
}

type sentAttempt struct {
	at       Attempt
	began    clock.Millis
	answered bool
}

const (
	stormServiceTime = clock.Millis(10) // the server answers 100 a second
	stormInterval    = clock.Millis(16) // 62 requests a second
	stormTimeout     = clock.Millis(500)
	stormStall       = 20 * clock.Second // when the server stands still
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

func (sm *storm) answer(now clock.Millis) {
	se := sm.queue[0]
	sm.queue = sm.queue[1:]
	sm.computed++
	if now-se.began <= stormTimeout {
		se.answered = true
		sm.answeredInTime[now/clock.Second]++
	}
}

// giveUp asks the policy about the attempts whose callers' patience ends.
func (sm *storm) giveUp(now clock.Millis) {
	for _, se := range sm.queue {
		if now-se.began != stormTimeout+1 {
			continue
		}
		se.at.Last = refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed}
		if ag, ok := sm.policy.Decide(now, se.at).(Retry); ok {
			next := *se
			next.at.Number++
			when := now + max(ag.After, 1)
			sm.retries[when] = append(sm.retries[when], &next)
		}
	}
}

// goodput is the answers in time for each request of a span, in seconds.
func (sm *storm) goodput(from, to clock.Millis) float64 {
	sum := 0
	for sec := from; sec < to; sec++ {
		sum += sm.answeredInTime[sec]
	}
	return float64(sum) * float64(stormInterval) / float64((to-from)*clock.Second)
}

// recovered is the first second after the stall from which goodput is whole,
// or -1.
func (sm *storm) recovered() clock.Millis {
	for sec := stormStallEnd / clock.Second; sec < stormSpan/clock.Second; sec++ {
		if sm.goodput(sec, stormSpan/clock.Second) > 0.99 {
			return sec - stormStallEnd/clock.Second
		}
	}
	return -1
}

// A server stands still for three seconds. With the budget it is back to its
// goodput by itself; with retries that only attempts bound it never is.
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
		t.Logf("%-14s: goodput %.2f before the stall, %.2f from 22 s after it, whole after %d s; %d answers computed",
			tc.name, before, after, sm.recovered(), sm.computed)
		assert.Assert(t, before > 0.99, "%f", before)
		if tc.recover {
			assert.Assert(t, after > 0.99, "%f", after)
		} else {
			assert.Assert(t, after < 0.1, "%f", after)
		}
	}
}
