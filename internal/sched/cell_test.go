package sched

import (
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// fixture drives a cell in tests and records the latest intents of each request.
type fixture struct {
	ce        *Cell
	now       clock.Millis
	grants    map[string]Grant
	transfers map[string]Transfer
	refusals  map[string]Refuse
	preempts  map[string]int
	intents   []Intent
}

func engines(prefills, decodes int) []board.BackendServer {
	var out []board.BackendServer
	for ix := range prefills {
		out = append(out, board.BackendServer{ID: fmt.Sprintf("p%d", ix), Role: board.Prefill})
	}
	for ix := range decodes {
		out = append(out, board.BackendServer{ID: fmt.Sprintf("d%d", ix), Role: board.Decode})
	}
	return out
}

func newFixture(prefills, decodes, slots int) *fixture {
	fx := &fixture{ce: &Cell{Slots: slots}, grants: map[string]Grant{}, transfers: map[string]Transfer{},
		refusals: map[string]Refuse{}, preempts: map[string]int{}}
	list := engines(prefills, decodes)
	fx.step(Servers{Servers: list})
	for _, srv := range list {
		ld := board.LoadReport{Server: srv.ID}
		if srv.Role == board.Decode {
			ld.Slots = slots
		}
		fx.step(Report{Load: ld})
	}
	return fx
}

func (fx *fixture) step(ev Event) []Intent {
	out := fx.ce.Step(fx.now, ev)
	fx.intents = append(fx.intents, out...)
	for _, in := range out {
		switch in := in.(type) {
		case Grant:
			fx.grants[in.Request] = in
		case Transfer:
			fx.transfers[in.Request] = in
		case Refuse:
			fx.refusals[in.Request] = in
		case Preempt:
			fx.preempts[in.Request]++
			delete(fx.grants, in.Request)
			delete(fx.transfers, in.Request)
		}
	}
	return out
}

func (fx *fixture) progress(id string, stage Stage, took clock.Millis) {
	fx.step(Progress{Request: id, Attempt: fx.grants[id].Attempt, Stage: stage, Took: took})
}

// startDecoding takes a granted request through to decoding.
func (fx *fixture) startDecoding(id string) {
	fx.progress(id, Prefilled, 10)
	fx.progress(id, Decoding, 5)
}

func patient(id string) RequestSpec {
	return RequestSpec{Request: id, Customer: "kedelsyn", Class: "findings", PromptTokens: 4000, MaxTokens: 1000,
		TTFT: 60 * clock.Second, TPOT: 45, Deadline: 300 * clock.Second, Share: 0.5, PrefillWeight: 0.5}
}

func quick(id string) RequestSpec {
	return RequestSpec{Request: id, Customer: "kedelsyn", Class: "lookup", Quick: true, PromptTokens: 100, MaxTokens: 80,
		TTFT: 410, TPOT: 45, Deadline: 15 * clock.Second, Share: 0.5, PrefillWeight: 0.5}
}

func TestGrantThenTransfer(t *testing.T) {
	fx := newFixture(2, 2, 4)
	fx.step(Submit{Spec: patient("ra")})
	gr, ok := fx.grants["ra"]
	assert.Assert(t, ok)
	assert.Assert(t, gr.Prefill != "" && gr.Decode != "")
	_, transferred := fx.transfers["ra"]
	assert.Assert(t, !transferred, "no import before the prefill is complete")
	fx.progress("ra", Prefilled, 400)
	tr := fx.transfers["ra"]
	assert.Equal(t, tr.Prefill, gr.Prefill)
	assert.Equal(t, fx.ce.engines[tr.Decode].held, 1)
	fx.progress("ra", Decoding, 90)
	fx.progress("ra", Ended, 9000)
	assert.Equal(t, fx.ce.engines[tr.Decode].held, 0)
	assert.Equal(t, len(fx.ce.jobs), 0)
}

// An Audit finds the requests that only one side has: those whose announcement was lost, and
// those whose end was.
func TestAuditFindsLostEvents(t *testing.T) {
	fx := newFixture(1, 1, 1)
	list := func(held ...HeldRequest) (unknown []string) {
		for _, in := range fx.step(Audit{Held: held}) {
			if un, ok := in.(Unknown); ok {
				unknown = append(unknown, un.Request)
			}
		}
		return unknown
	}
	spec := func(id string, stream uint64) RequestSpec {
		rs := patient(id)
		rs.Stream = stream
		return rs
	}
	fx.step(Submit{Spec: spec("ra", 1)})
	fx.startDecoding("ra")
	fx.step(Submit{Spec: spec("rb", 2)})
	fx.step(Submit{Spec: spec("rc", 3)})
	running := HeldRequest{Request: "ra", Stream: 1}
	waiting := []HeldRequest{{Request: "rb", Stream: 2, Waiting: true}, {Request: "rc", Stream: 3, Waiting: true}}
	assert.Equal(t, len(list(append(waiting, running)...)), 0)
	assert.Equal(t, len(fx.ce.jobs), 3)

	unknown := list(running, HeldRequest{Request: "rb", Stream: 4, Waiting: true}, waiting[1],
		HeldRequest{Request: "rd", Stream: 5, Waiting: true}, HeldRequest{Request: "re", Stream: 6})
	assert.DeepEqual(t, unknown, []string{"rb", "rd"})
	assert.Equal(t, len(fx.ce.jobs), 2)
	assert.Equal(t, fx.ce.Waiting(), 1)

	assert.Equal(t, len(list(waiting[1])), 0) // the end of ra was lost
	_, granted := fx.grants["rc"]
	assert.Assert(t, granted, "the slot of a request that nobody holds is not free")
}

func TestNoPrefillWithoutExpectedSlot(t *testing.T) {
	fx := newFixture(4, 1, 2)
	for ix := range 6 {
		id := fmt.Sprint("r", ix)
		fx.step(Submit{Spec: patient(id)})
		if _, ok := fx.grants[id]; ok {
			fx.startDecoding(id)
		}
	}
	assert.Equal(t, len(fx.grants), 2)
	assert.Equal(t, fx.ce.Waiting(), 4)
	fx.now += 100
	fx.progress("r0", Ended, 100)
	assert.Equal(t, len(fx.grants), 3)
}

func TestQuickOvertakesPatient(t *testing.T) {
	fx := newFixture(1, 1, 4)
	for ix := range 5 {
		fx.step(Submit{Spec: patient(fmt.Sprint("r", ix))})
	}
	waiting := fx.ce.Waiting()
	assert.Assert(t, waiting > 0)
	fx.step(Submit{Spec: quick("q")})
	_, ok := fx.grants["q"]
	assert.Assert(t, ok)
	assert.Equal(t, fx.ce.Waiting(), waiting)
}

func TestQuickRefusedAtOnceWhenFull(t *testing.T) {
	fx := newFixture(1, 1, 2)
	for _, id := range []string{"ra", "rb"} {
		spec := patient(id)
		spec.PromptTokens = 100
		fx.step(Submit{Spec: spec})
		fx.startDecoding(id)
	}
	fx.step(Submit{Spec: quick("q")})
	rf, ok := fx.refusals["q"]
	assert.Assert(t, ok)
	assert.Equal(t, rf.Refusal.Ran, refusal.NotRun)
	assert.Equal(t, rf.Refusal.Reason, refusal.TargetUnreachable)
	assert.Assert(t, rf.Refusal.RetryAfter >= minRetryAfter)
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		modify func(*fixture, *RequestSpec)
		reason refusal.Reason
	}{
		{"no engines", func(fx *fixture, _ *RequestSpec) { fx.step(Servers{}) }, refusal.NoBackend},
		{"deadline passed", func(fx *fixture, spec *RequestSpec) { spec.Deadline = fx.now + 1 }, refusal.DeadlinePassed},
		{"all leaving", func(fx *fixture, _ *RequestSpec) {
			for _, srv := range engines(1, 1) {
				fx.step(Report{Load: board.LoadReport{Server: srv.ID, Leaving: true}})
			}
		}, refusal.NoBackend},
		{"target too short", func(_ *fixture, spec *RequestSpec) { *spec = quick("ra"); spec.TTFT = 60 }, refusal.TargetUnreachable},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(1, 1, 4)
			spec := patient("ra")
			tc.modify(fx, &spec)
			fx.step(Submit{Spec: spec})
			assert.Equal(t, fx.refusals["ra"].Refusal.Reason, tc.reason)
			assert.Equal(t, fx.refusals["ra"].Refusal.Ran, refusal.NotRun)
			assert.Equal(t, len(fx.ce.jobs), 0)
		})
	}
}

func TestQueueBoundOfGroup(t *testing.T) {
	fx := newFixture(1, 1, 1)
	fx.ce.QueueBound = 40
	for ix := range 60 {
		spec := patient(fmt.Sprint("r", ix))
		spec.TTFT, spec.Deadline = 10*clock.Hour, 20*clock.Hour
		fx.step(Submit{Spec: spec})
	}
	assert.Equal(t, fx.ce.Waiting(), 20) // half of the bound, because its share is a half
	assert.Equal(t, fx.refusals["r59"].Refusal.Reason, refusal.QueueFull)
}

func TestLeavingEngineGetsNothingNew(t *testing.T) {
	fx := newFixture(2, 2, 8)
	list := engines(2, 2)
	list[0].Leaving, list[2].Leaving = true, true
	fx.step(Servers{Servers: list})
	for ix := range 6 {
		id := fmt.Sprint("r", ix)
		fx.step(Submit{Spec: quick(id)})
		fx.startDecoding(id)
		assert.Equal(t, fx.grants[id].Prefill, "p1")
		assert.Equal(t, fx.transfers[id].Decode, "d1")
	}
}

func TestRejectedImportGoesElsewhere(t *testing.T) {
	fx := newFixture(1, 2, 4)
	fx.step(Submit{Spec: quick("q")})
	fx.progress("q", Prefilled, 10)
	first := fx.transfers["q"].Decode
	fx.progress("q", Rejected, 2)
	second := fx.transfers["q"].Decode
	assert.Assert(t, first != second)
	assert.Equal(t, fx.ce.engines[first].free(), 0)
	assert.Equal(t, fx.ce.engines[first].held, 0)
	assert.Equal(t, fx.ce.engines[second].held, 1)
	fx.step(Report{Load: board.LoadReport{Server: first, Slots: 4, Running: 3}})
	assert.Equal(t, fx.ce.engines[first].free(), 2, "one of the three may be of this cell in a late report")
}

func TestExpiredKVCacheIsPreempted(t *testing.T) {
	fx := newFixture(1, 1, 1)
	fx.step(Submit{Spec: patient("ra")})
	fx.step(Adopt{Spec: quick("qa"), Stage: Decoding, Prefill: "p0", Decode: "d0"})
	fx.progress("ra", Prefilled, 400)
	assert.Equal(t, len(fx.transfers), 0)
	fx.now += fx.ce.KVCacheTTL
	fx.step(Tick{})
	assert.Equal(t, fx.preempts["ra"], 1)
	assert.Equal(t, fx.ce.Waiting(), 1)
	fx.now += 400 * clock.Second
	fx.step(Tick{})
	assert.Equal(t, fx.refusals["ra"].Refusal.Ran, refusal.MayHaveRun)
}

// TestRepeatedlyLostKVCacheIsRefused guards against endless retries of a request
// whose KV cache is lost each time.
func TestRepeatedlyLostKVCacheIsRefused(t *testing.T) {
	fx := newFixture(1, 1, 1)
	fx.step(Submit{Spec: patient("ra")})
	for range maxExpirations {
		assert.Equal(t, len(fx.refusals), 0)
		fx.step(Adopt{Spec: quick("qa"), Stage: Decoding, Prefill: "p0", Decode: "d0"})
		fx.progress("ra", Prefilled, 400)
		fx.now += fx.ce.KVCacheTTL
		fx.step(Tick{})
		fx.step(Progress{Request: "qa", Stage: Ended})
	}
	assert.Equal(t, fx.refusals["ra"].Refusal.Reason, refusal.RetriesExhausted)
	assert.Equal(t, fx.refusals["ra"].Refusal.Ran, refusal.MayHaveRun)
	assert.Equal(t, len(fx.ce.jobs), 0)
}

// lapse takes a granted request through a transfer that comes too late.
func (fx *fixture) lapse(id string) {
	fx.now += 100
	fx.step(Tick{})
	fx.progress(id, Prefilled, 10)
	fx.progress(id, Transferring, 0)
	fx.now += fx.ce.KVCacheTTL
	fx.progress(id, Lapsed, 0)
}

// Single late messages lose KV caches of small prompts. The request is not refused for that
// while most transfers are fast and its deadline is far.
func TestLapsedKVCacheIsComputedAgain(t *testing.T) {
	fx := newFixture(1, 1, 60)
	spec := patient("ra")
	spec.PromptTokens = 100
	fx.step(Submit{Spec: spec})
	for ix := range 2 * maxExpirations {
		for iy := range 10 { // other requests, on time
			id := fmt.Sprintf("r%d-%d", ix, iy)
			fx.step(Submit{Spec: quick(id)})
			fx.startDecoding(id)
			fx.progress(id, Ended, 100)
		}
		fx.lapse("ra")
		assert.Equal(t, len(fx.refusals), 0)
		assert.Equal(t, fx.preempts["ra"], ix+1)
	}
	fx.now += 100
	fx.step(Tick{})
	fx.startDecoding("ra")
	assert.Equal(t, fx.ce.jobs["ra"].stage, Decoding)
}

// If all transfers come too late, the request is refused instead of being computed until its
// deadline.
func TestAlwaysLapsedKVCacheIsRefused(t *testing.T) {
	fx := newFixture(1, 1, 4)
	fx.step(Submit{Spec: patient("ra")})
	for range maxExpirations {
		assert.Equal(t, len(fx.refusals), 0)
		fx.lapse("ra")
	}
	assert.Equal(t, fx.refusals["ra"].Refusal.Reason, refusal.RetriesExhausted)
	assert.Equal(t, len(fx.ce.jobs), 0)
}

func TestGrantNotBegunIsPreemptedAtLeavingEngine(t *testing.T) {
	fx := newFixture(2, 2, 8)
	first := patient("r0")
	first.PrefixHash, first.PrefixTokens = 42, 3900
	fx.step(Submit{Spec: first})
	fx.now += 50
	second := first
	second.Request = "r1"
	fx.step(Submit{Spec: second}) // queued behind the first for the cached prefix
	where := fx.grants["r0"].Prefill
	assert.Equal(t, fx.grants["r1"].Prefill, where)
	fx.now += 10
	list := engines(2, 2)
	for ix := range list {
		list[ix].Leaving = list[ix].ID == where
	}
	fx.step(Servers{Servers: list})
	assert.Equal(t, fx.preempts["r0"], 0, "its prefill has begun")
	assert.Equal(t, fx.preempts["r1"], 1)
	assert.Assert(t, fx.grants["r1"].Prefill != where)
	assert.Equal(t, fx.grants["r1"].Attempt, 1)
}

func TestLateRequestsAreServedAndEnd(t *testing.T) {
	fx := newFixture(1, 1, 1)
	for ix := range 6 {
		spec := patient(fmt.Sprint("r", ix))
		spec.TTFT = 30 * clock.Second
		spec.Deadline = 200 * clock.Second
		spec.MaxTokens = 10
		fx.step(Submit{Spec: spec})
	}
	fx.startDecoding("r0")
	fx.now += 40 * clock.Second
	fx.step(Tick{})
	assert.Equal(t, fx.ce.Waiting(), 5, "moved to the late queue, not refused")
	fx.progress("r0", Ended, 100)
	_, ok := fx.grants["r1"]
	assert.Assert(t, ok)
	fx.now += 300 * clock.Second
	fx.step(Tick{})
	for ix := 2; ix < 6; ix++ {
		assert.Equal(t, fx.refusals[fmt.Sprint("r", ix)].Refusal.Reason, refusal.DeadlinePassed)
	}
}

func TestAdopt(t *testing.T) {
	for _, stage := range []Stage{Prefilling, Prefilled, Transferring, Decoding} {
		t.Run(string(stage), func(t *testing.T) {
			fx := newFixture(1, 1, 4)
			ad := Adopt{Spec: patient("ra"), Stage: stage, Prefill: "p-gone", Decode: "d0"}
			ad.Spec.Attempt = 3
			fx.grants["ra"] = Grant{Attempt: 3}
			fx.step(ad)
			assert.Equal(t, len(fx.refusals), 0)
			for _, next := range []Stage{Prefilled, Decoding} {
				fx.progress("ra", next, 10)
			}
			assert.Equal(t, fx.ce.jobs["ra"].stage, Decoding)
			assert.Equal(t, fx.ce.engines["d0"].held, 1)
			fx.progress("ra", Ended, 10)
			assert.Equal(t, fx.ce.engines["d0"].held, 0)
			assert.Equal(t, fx.ce.reserved, [2]int{})
		})
	}
}

func TestStalledTransferIsRedirected(t *testing.T) {
	fx := newFixture(1, 2, 4)
	spec := patient("ra")
	spec.PromptTokens = 1000
	fx.step(Submit{Spec: spec})
	fx.progress("ra", Prefilled, 100)
	first := fx.transfers["ra"].Decode
	fx.now += 300
	fx.step(Tick{})
	assert.Assert(t, fx.transfers["ra"].Decode != first)
	assert.Equal(t, fx.ce.engines[first].free(), 3, "the slot counts as taken until a report")
}

func TestOldAttemptIsDropped(t *testing.T) {
	fx := newFixture(1, 1, 4)
	fx.step(Submit{Spec: quick("q")})
	fx.step(Progress{Request: "q", Attempt: 7, Stage: Prefilled})
	assert.Equal(t, len(fx.transfers), 0)
}

func TestOrphanHoldsSlotUntilReportShowsRelease(t *testing.T) {
	fx := newFixture(1, 1, 2)
	fx.step(Submit{Spec: quick("q")})
	fx.startDecoding("q")
	fx.step(Orphan{Request: "q"})
	assert.Equal(t, fx.ce.engines["d0"].held, 1)
	fx.step(Report{Load: board.LoadReport{Server: "d0", Slots: 2, Running: 0}})
	assert.Equal(t, fx.ce.engines["d0"].held, 1, "too early to trust a lagging report")
	fx.now += orphanGrace
	fx.step(Report{Load: board.LoadReport{Server: "d0", Slots: 2, Running: 0}})
	assert.Equal(t, fx.ce.engines["d0"].held, 0)
}

func TestLoadOfOthersTakesSlots(t *testing.T) {
	fx := newFixture(1, 1, 4)
	fx.step(Report{Load: board.LoadReport{Server: "d0", Slots: 4, Running: 3}})
	assert.Equal(t, fx.ce.engines["d0"].free(), 1)
	fx.step(Adopt{Spec: patient("ra"), Stage: Decoding, Prefill: "p0", Decode: "d0"})
	assert.Equal(t, fx.ce.engines["d0"].free(), 1, "an adopted request is not counted twice")
}

func TestNewAccountingVMWaitsForReports(t *testing.T) {
	fx := &fixture{ce: &Cell{}, grants: map[string]Grant{}, transfers: map[string]Transfer{}, refusals: map[string]Refuse{}, preempts: map[string]int{}}
	fx.step(Servers{Servers: engines(1, 1)})
	fx.step(Submit{Spec: quick("q")})
	assert.Equal(t, fx.refusals["q"].Refusal.Reason, refusal.NoBackend)
	fx.now += reportGrace
	fx.step(Submit{Spec: quick("q2")})
	fx.step(Submit{Spec: quick("q3")})
	_, ok := fx.grants["q3"]
	assert.Assert(t, ok)
}

func TestFailingEngineIsClosedForAWhile(t *testing.T) {
	fx := newFixture(2, 1, 20)
	lose := func(id string) string {
		fx.step(Submit{Spec: quick(id)})
		where := fx.grants[id].Prefill
		fx.progress(id, Lost, 5)
		return where
	}
	assert.Equal(t, lose("q0"), "p0")
	assert.Equal(t, lose("q1"), "p0", "a single loss does not close the engine")
	fx.step(Report{Load: board.LoadReport{Server: "p0"}})
	for ix := range 4 {
		id := fmt.Sprint("r", ix)
		fx.step(Submit{Spec: quick(id)})
		assert.Equal(t, fx.grants[id].Prefill, "p1", "a lagging report does not open the engine")
	}
	fx.now += minClosed
	fx.step(Report{Load: board.LoadReport{Server: "p0"}})
	fx.step(Submit{Spec: quick("q2")})
	assert.Equal(t, fx.grants["q2"].Prefill, "p0")
}

// An engine that requested a rest gets no new work until the rest ends, whatever its
// reports say.
func TestRestingEngineGetsNoWork(t *testing.T) {
	const rest = 3 * clock.Second
	fx := newFixture(2, 2, 8)
	fx.step(Rest{Server: "p0", For: rest})
	fx.step(Rest{Server: "d0", For: rest})
	fx.step(Rest{Server: "d0", For: clock.Second}) // does not shorten the rest
	fx.step(Rest{Server: "none", For: rest})
	run := func(id string) (prefill, decode string) {
		fx.step(Submit{Spec: quick(id)})
		prefill = fx.grants[id].Prefill
		fx.progress(id, Prefilled, 10)
		decode = fx.transfers[id].Decode
		fx.progress(id, Decoding, 5)
		fx.progress(id, Ended, 5)
		return prefill, decode
	}
	for end := fx.now + rest; fx.now < end; fx.now += rest / 10 {
		for _, id := range []string{"p0", "d0"} {
			fx.step(Report{Load: board.LoadReport{Server: id, Slots: 8}})
		}
		pre, dec := run(fmt.Sprint("r", fx.now))
		assert.Equal(t, pre, "p1")
		assert.Equal(t, dec, "d1")
	}
	for _, id := range []string{"p0", "d0"} {
		fx.step(Report{Load: board.LoadReport{Server: id, Slots: 8}})
	}
	fx.step(Rest{Server: "p1", For: rest})
	fx.step(Rest{Server: "d1", For: rest})
	pre, dec := run("after")
	assert.Equal(t, pre, "p0")
	assert.Equal(t, dec, "d0")
}

func TestHeldKVCacheIsUsed(t *testing.T) {
	fx := newFixture(2, 1, 4)
	spec := patient("ra")
	spec.HeldPrefill, spec.Attempt = "p1", 2
	fx.step(Submit{Spec: spec})
	assert.Equal(t, fx.grants["ra"].SkipPrefill, true)
	assert.Equal(t, fx.transfers["ra"].Prefill, "p1")
}

func TestCachedPrefixIsPreferred(t *testing.T) {
	fx := newFixture(3, 2, 8)
	spec := patient("ra")
	spec.PrefixHash, spec.PrefixTokens = 42, 2000
	fx.step(Submit{Spec: spec})
	first := fx.grants["ra"].Prefill
	fx.step(Submit{Spec: patient("rb")})
	spec.Request = "rc"
	fx.now += 300
	fx.step(Submit{Spec: spec})
	assert.Equal(t, fx.grants["rc"].Prefill, first)
}

// TestOtherCustomerGetsFreedSlots fills the cell with one customer's work and then submits
// another customer's: every slot that is freed goes to the second customer until it has
// its share.
func TestOtherCustomerGetsFreedSlots(t *testing.T) {
	fx := newFixture(8, 2, 10)
	for ix := range 40 {
		id := fmt.Sprint("a", ix)
		fx.step(Submit{Spec: patient(id)})
		if _, ok := fx.grants[id]; ok {
			fx.startDecoding(id)
		}
	}
	for ix := range 30 {
		spec := patient(fmt.Sprint("b", ix))
		spec.Customer = "fjernvarme"
		fx.step(Submit{Spec: spec})
	}
	started := 0
	for ix := 0; started < 8; ix++ {
		assert.Assert(t, ix < 8, "freed slot %d did not go to the second customer", ix)
		fx.now += 20
		before := len(fx.grants)
		fx.progress(fmt.Sprint("a", ix), Ended, 100)
		for id := range fx.grants {
			if id[0] == 'b' && fx.ce.jobs[id] != nil && fx.ce.jobs[id].stage == Prefilling {
				fx.startDecoding(id)
				started++
			}
		}
		assert.Assert(t, len(fx.grants) > before, "a freed slot stays unused")
	}
}

func TestPrefillWeightSetsForecastMargin(t *testing.T) {
	starts := func(weight float64) int {
		fx := newFixture(6, 2, 10)
		for ix := range 20 {
			spec := patient(fmt.Sprint("a", ix))
			spec.PrefillWeight, spec.MaxTokens = weight, 60
			fx.step(Submit{Spec: spec})
			if _, ok := fx.grants[spec.Request]; ok {
				fx.startDecoding(spec.Request)
			}
		}
		began := len(fx.grants)
		for ix := range 6 {
			spec := patient(fmt.Sprint("b", ix))
			spec.PrefillWeight = weight
			fx.step(Submit{Spec: spec})
		}
		return len(fx.grants) - began
	}
	assert.Assert(t, starts(0) > starts(1), "%d starts at weight 0, %d at weight 1", starts(0), starts(1))
}

// TestReplay feeds the same events to two cells and expects the same intents.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := newFixture(3, 3, 4)
		other := newFixture(3, 3, 4)
		for ix := range rapid.IntRange(1, 60).Draw(rt, "events") {
			var ev Event = Tick{}
			id := fmt.Sprint("r", ix)
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				ev = Submit{Spec: patient(id)}
			case 1:
				ev = Submit{Spec: quick(id)}
			case 2:
				ev = Progress{Request: fmt.Sprint("r", rapid.IntRange(0, ix).Draw(rt, "which")),
					Stage: rapid.SampledFrom([]Stage{Prefilled, Decoding, Ended}).Draw(rt, "stage")}
			}
			fx.now += 7
			other.now += 7
			got, want := other.step(ev), fx.step(ev)
			if !reflect.DeepEqual(got, want) {
				rt.Fatalf("event %d (%#v): first cell returned %v, second %v", ix, ev, want, got)
			}
		}
	})
}

// fullCell returns a cell of some engines at peak load, and a function that takes one
// request through it.
func fullCell(engineCount int) (*fixture, func(ix int)) {
	fx := newFixture(engineCount/2, engineCount-engineCount/2, 20)
	for ix := range engineCount * 9 {
		id := fmt.Sprint("fill", ix)
		spec := quick(id)
		spec.Deadline = clock.Hour
		fx.step(Submit{Spec: spec})
		fx.now += 5
		if _, ok := fx.grants[id]; ok {
			fx.startDecoding(id)
		}
	}
	return fx, func(ix int) {
		id := fmt.Sprint("r", ix)
		spec := quick(id)
		spec.Deadline = fx.now + clock.Hour
		fx.now += 5
		fx.step(Submit{Spec: spec})
		fx.startDecoding(id)
		fx.progress(id, Ended, 900)
		fx.intents = fx.intents[:0]
		delete(fx.grants, id)
		delete(fx.transfers, id)
	}
}

// TestStepsGrowBelowLinear bounds the counted steps of one request's decisions: fifty
// times as many engines may take at most five times as many steps.
func TestStepsGrowBelowLinear(t *testing.T) {
	steps := func(workers int) float64 {
		fx, runOne := fullCell(workers)
		before := fx.ce.Steps()
		for ix := range 200 {
			runOne(ix)
		}
		return float64(fx.ce.Steps()-before) / 200
	}
	small, large := steps(12), steps(600)
	t.Logf("steps for one request: %.1f at 12 workers, %.1f at 600", small, large)
	assert.Assert(t, large < 5*small, "%.1f steps at 12 workers, %.1f at 600", small, large)
}

func BenchmarkRequest(b *testing.B) {
	for _, workers := range []int{12, 600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			_, runOne := fullCell(workers)
			b.ReportAllocs()
			ix := 0
			for b.Loop() {
				runOne(ix)
				ix++
			}
		})
	}
}

func ExampleCell() {
	ce := &Cell{Name: "rapportmodel/0"}
	ce.Step(0, Servers{Servers: []board.BackendServer{
		{ID: "prefill-0", Role: board.Prefill}, {ID: "decode-0", Role: board.Decode},
	}})
	ce.Step(0, Report{Load: board.LoadReport{Server: "prefill-0"}})
	ce.Step(0, Report{Load: board.LoadReport{Server: "decode-0", Slots: 20}})
	for _, in := range ce.Step(5, Submit{Spec: RequestSpec{Request: "r1", Customer: "kedelsyn", Class: "lookup",
		Quick: true, PromptTokens: 120, MaxTokens: 80, TTFT: 410, TPOT: 45, Share: 0.3}}) {
		switch in := in.(type) {
		case Grant:
			fmt.Println("prefill at", in.Prefill)
		case Refuse:
			fmt.Println("refused:", in.Refusal)
		}
	}
	// Output: prefill at prefill-0
}
