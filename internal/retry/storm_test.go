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
	policy *Policy
	queue  []*sent
	again  map[clock.Millis][]*sent
	good   map[clock.Millis]int // answers in time, by second
	worked int                  // all that the server did
}

type sent struct {
	at       Attempt
	began    clock.Millis
	answered bool
}

const (
	stormWork     = clock.Millis(10) // the server answers 100 a second
	stormEvery    = clock.Millis(16) // 62 requests a second
	stormPatience = clock.Millis(500)
	stormStall    = 20 * clock.Second // when the server stands still
	stormGoesOn   = 23 * clock.Second
	stormSpan     = clock.Minute
)

func (sm *storm) run() {
	sm.again, sm.good = map[clock.Millis][]*sent{}, map[clock.Millis]int{}
	for now := clock.Millis(0); now < stormSpan; now++ {
		if now%stormEvery == 0 {
			sm.policy.Request(now, "cu", "svc")
			sm.send(now, Attempt{Customer: "cu", Service: "svc", Idempotent: true, Number: 1, Deadline: now + 10*clock.Second})
		}
		for _, se := range sm.again[now] {
			sm.send(now, se.at)
		}
		delete(sm.again, now)
		if now%stormWork == 0 && len(sm.queue) > 0 && (now < stormStall || now >= stormGoesOn) {
			sm.answer(now)
		}
		sm.giveUp(now)
	}
}

func (sm *storm) send(now clock.Millis, at Attempt) {
	sm.queue = append(sm.queue, &sent{at: at, began: now})
}

func (sm *storm) answer(now clock.Millis) {
	se := sm.queue[0]
	sm.queue = sm.queue[1:]
	sm.worked++
	if now-se.began <= stormPatience {
		se.answered = true
		sm.good[now/clock.Second]++
	}
}

// giveUp asks the policy about the attempts whose callers' patience ends.
func (sm *storm) giveUp(now clock.Millis) {
	for _, se := range sm.queue {
		if now-se.began != stormPatience+1 {
			continue
		}
		se.at.Last = refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed}
		if ag, ok := sm.policy.Decide(now, se.at).(Again); ok {
			next := *se
			next.at.Number++
			when := now + max(ag.After, 1)
			sm.again[when] = append(sm.again[when], &next)
		}
	}
}

// goodput is the answers in time for each request of a span, in seconds.
func (sm *storm) goodput(from, to clock.Millis) float64 {
	sum := 0
	for sec := from; sec < to; sec++ {
		sum += sm.good[sec]
	}
	return float64(sum) * float64(stormEvery) / float64((to-from)*clock.Second)
}

// recovered is the first second after the stall from which goodput is whole,
// or -1.
func (sm *storm) recovered() clock.Millis {
	for sec := stormGoesOn / clock.Second; sec < stormSpan/clock.Second; sec++ {
		if sm.goodput(sec, stormSpan/clock.Second) > 0.99 {
			return sec - stormGoesOn/clock.Second
		}
	}
	return -1
}

// A server stands still for three seconds. With the budget it is back to its
// goodput by itself; with retries that only attempts bound it never is.
func TestServiceRecoversAfterStall(t *testing.T) {
	free := policy(1)
	free.Settings = Settings{Ratio: 10, Floor: 1000, Burst: 1e6}
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
			tc.name, before, after, sm.recovered(), sm.worked)
		assert.Assert(t, before > 0.99, "%f", before)
		if tc.recover {
			assert.Assert(t, after > 0.99, "%f", after)
		} else {
			assert.Assert(t, after < 0.1, "%f", after)
		}
	}
}
