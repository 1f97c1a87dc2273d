package sched

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// slowMessages drives a cell whose prefills complete at once and whose transfers take a
// fixed time outside their links.
type slowMessages struct {
	fx           *fixture
	messageDelay clock.Millis            // delay of each transfer outside its link
	seen         int                     // number of intents processed
	due          map[string]clock.Millis // when the transfer of each request arrives
	transfers    []Transfer
}

func newSlowMessages(messageDelay clock.Millis) *slowMessages {
	return &slowMessages{fx: newFixture(1, 4, 20), messageDelay: messageDelay, due: make(map[string]clock.Millis)}
}

// advance steps the cell through the given time. The newest order of a request replaces
// the previous one.
func (sm *slowMessages) advance(span clock.Millis) {
	for until := sm.fx.now + span; sm.fx.now < until; sm.fx.now += 5 {
		for _, id := range sm.delivered() {
			delete(sm.due, id)
			sm.fx.progress(id, Decoding, 0)
		}
		sm.fx.step(Tick{})
		for ; sm.seen < len(sm.fx.intents); sm.seen++ {
			switch in := sm.fx.intents[sm.seen].(type) {
			case Grant:
				sm.fx.progress(in.Request, Prefilled, 1)
			case Transfer:
				sm.due[in.Request] = sm.fx.now + sm.messageDelay
				sm.transfers = append(sm.transfers, in)
			case Preempt:
				delete(sm.due, in.Request)
			}
		}
	}
}

// delivered returns the requests whose transfers have arrived by now.
func (sm *slowMessages) delivered() []string {
	var ids []string
	for id, at := range sm.due {
		if at <= sm.fx.now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (sm *slowMessages) submit(id string, tokens int) {
	spec := patient(id)
	spec.PromptTokens = tokens
	sm.fx.step(Submit{Spec: spec})
}

// stalledCount returns the number of transfers that replaced a stalled one.
func (sm *slowMessages) stalledCount() int {
	count := 0
	for _, tr := range sm.transfers {
		if tr.Stalled != "" {
			count++
		}
	}
	return count
}

// A transfer of a short prompt uses its link for a millisecond and waits 150 ms for its
// messages. If such transfers run one at a time, the last of thirty KV caches expire
// while they wait for the link.
func TestShortTransfersDoNotWaitForTheirMessages(t *testing.T) {
	sm := newSlowMessages(150)
	for ix := range 30 {
		sm.submit(fmt.Sprint("r", ix), 20)
	}
	sm.advance(2 * clock.Second)
	assert.Equal(t, len(sm.fx.preempts), 0, "KV caches expired")
	for _, tr := range sm.transfers {
		assert.Check(t, tr.Waited < sm.fx.ce.KVCacheTTL/4, "transfer of %s waited %v for %s", tr.Request, tr.Waited, tr.WaitedFor)
	}
	for _, jb := range sm.fx.ce.jobs {
		assert.Equal(t, jb.stage, Decoding)
	}
}

// Long transfers fill their link, so they run one at a time.
func TestLongTransfersGoOneAtATime(t *testing.T) {
	sm := newSlowMessages(150)
	for ix := range 3 {
		sm.submit(fmt.Sprint("r", ix), 8000)
	}
	sm.advance(100)
	assert.Equal(t, len(sm.transfers), 1)
}

// A fixed stall timeout of 100 ms discards every transfer once when messages take
// longer than that. The timeout has to adapt to the measured delay.
func TestSlowMessagesDoNotCountAsStall(t *testing.T) {
	for _, messageDelay := range []clock.Millis{90, 150, 300} {
		t.Run(messageDelay.String(), func(t *testing.T) {
			sm := newSlowMessages(messageDelay)
			for ix := range 20 {
				sm.submit(fmt.Sprint("r", ix), 100)
				sm.advance(clock.Second)
			}
			assert.Assert(t, sm.stalledCount() <= 2, "%d transfers counted as stalled", sm.stalledCount())
		})
	}
}

// A transfer that does stall is redirected in time even when messages are slow.
func TestStallIsDetectedDespiteSlowMessages(t *testing.T) {
	sm := newSlowMessages(60)
	for ix := range 10 {
		sm.submit(fmt.Sprint("r", ix), 100)
		sm.advance(clock.Second)
	}
	assert.Equal(t, sm.stalledCount(), 0)
	sm.messageDelay = clock.Minute
	sm.submit("stalls", 100)
	sm.advance(sm.fx.ce.KVCacheTTL / 2)
	assert.Equal(t, sm.stalledCount(), 1)
}

// A KV cache that the prefill engine no longer keeps does not count against the decode
// engine that could not fetch it, and the request is requeued at once.
func TestLostKVCacheIsPreemptedAtOnce(t *testing.T) {
	fx := newFixture(1, 1, 4)
	fx.step(Submit{Spec: quick("q")})
	fx.progress("q", Prefilled, 10)
	assert.Equal(t, fx.transfers["q"].Decode, "d0")
	fx.progress("q", Lapsed, 0)
	assert.Equal(t, fx.preempts["q"], 1)
	assert.Equal(t, fx.ce.engines["d0"].free(), 4)
	assert.Equal(t, fx.ce.slots, 4)
	assert.Equal(t, fx.grants["q"].Attempt, 1, "granted again")
	fx.step(Report{Load: board.LoadReport{Server: "d0", Slots: 4}})
	fx.startDecoding("q")
	assert.Equal(t, fx.ce.engines["d0"].held, 1)
}
