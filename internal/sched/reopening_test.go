package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// closedCases are the ways in which the only engine of a role stops taking work for a
// while although it is listed, healthy and reporting.
var closedCases = []struct {
	name         string
	server       string
	reopensAfter clock.Millis // when a report reopens it, if it is alive
	closeEngine  func(fx *fixture)
}{
	{"two decodes lost", "d0", minClosed, func(fx *fixture) {
		for _, id := range []string{"l0", "l1"} {
			fx.step(Submit{Spec: quick(id)})
			fx.startDecoding(id)
		}
		fx.progress("l0", Lost, 0)
		fx.progress("l1", Lost, 0)
	}},
	{"two prefills lost", "p0", minClosed, func(fx *fixture) {
		for _, id := range []string{"l0", "l1"} {
			fx.step(Submit{Spec: quick(id)})
			fx.progress(id, Lost, 0)
		}
	}},
	{"the decode engine rests", "d0", 3 * clock.Second, func(fx *fixture) { fx.step(Rest{Server: "d0", For: 3 * clock.Second}) }},
	{"the decode engine rests while a decode runs", "d0", 3 * clock.Second, func(fx *fixture) {
		fx.step(Submit{Spec: quick("l0")})
		fx.startDecoding("l0")
		fx.step(Rest{Server: "d0", For: 3 * clock.Second})
	}},
	{"the prefill engine rests", "p0", 3 * clock.Second, func(fx *fixture) { fx.step(Rest{Server: "p0", For: 3 * clock.Second}) }},
	{"its only import was rejected", "d0", 0, func(fx *fixture) {
		fx.step(Submit{Spec: quick("l0")})
		fx.progress("l0", Prefilled, 10)
		fx.progress("l0", Rejected, 2)
		fx.step(Withdraw{Request: "l0"})
	}},
	{"the accounting VM is new", "d0", 0, func(fx *fixture) {
		fx.ce = &Cell{Slots: fx.ce.Slots}
		fx.step(Servers{Servers: engines(1, 1)})
		fx.step(Report{Load: board.LoadReport{Server: "p0"}})
	}},
}

// A request that can wait isn't refused because the only engine of a role takes nothing
// for a second, whether the request is new or the next attempt of one that was lost.
func TestRequestWaitsForOnlyEngineToReopen(t *testing.T) {
	for _, tc := range closedCases {
		for _, attempt := range []int{0, 2} {
			t.Run(tc.name, func(t *testing.T) {
				fx := newFixture(1, 1, 4)
				tc.closeEngine(fx)
				spec := patient("ra")
				spec.Attempt = attempt
				fx.step(Submit{Spec: spec})
				assert.Equal(t, len(fx.refusals), 0, "%+v", fx.refusals)
				assert.Equal(t, fx.ce.Waiting(), 1)
				for end := fx.now + tc.reopensAfter; fx.now < end; fx.now += 100 {
					fx.step(Report{Load: board.LoadReport{Server: tc.server, Slots: 4}})
					assert.Equal(t, fx.ce.Waiting(), 1, "granted before the engine reopened")
				}
				fx.step(Report{Load: board.LoadReport{Server: tc.server, Slots: 4}})
				_, ok := fx.grants["ra"]
				assert.Assert(t, ok)
				fx.startDecoding("ra")
				assert.Equal(t, fx.transfers["ra"].Decode, "d0")
				fx.progress("ra", Ended, 100)
				assert.Equal(t, len(fx.refusals), 0, "%+v", fx.refusals)
			})
		}
	}
}

// A request whose target passes before the engine reopens is refused at once, with the
// time until then as RetryAfter.
func TestRequestThatCannotWaitForTheOnlyEngineIsRefused(t *testing.T) {
	for _, tc := range closedCases {
		if tc.reopensAfter == 0 {
			continue
		}
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(1, 1, 4)
			tc.closeEngine(fx)
			fx.step(Submit{Spec: quick("qa")})
			late := patient("pa")
			late.TTFT = tc.reopensAfter
			fx.step(Submit{Spec: late})
			for _, id := range []string{"qa", "pa"} {
				rf := fx.refusals[id].Refusal
				assert.Equal(t, rf.Reason, refusal.NoBackend, id)
				assert.Equal(t, rf.Ran, refusal.NotRun, id)
				assert.Assert(t, rf.RetryAfter >= tc.reopensAfter && rf.RetryAfter < tc.reopensAfter+clock.Second, "%s: %v", id, rf.RetryAfter)
			}
			assert.Equal(t, fx.ce.Waiting(), 0)

			fx.now += tc.reopensAfter - 100
			fx.step(Submit{Spec: quick("qb")})
			fx.step(Submit{Spec: quick("qc")})
			assert.Equal(t, fx.ce.Waiting(), 2)
			fx.now += 100
			fx.step(Report{Load: board.LoadReport{Server: tc.server, Slots: 4}})
			for _, id := range []string{"qb", "qc"} {
				_, ok := fx.grants[id]
				assert.Assert(t, ok, id)
			}
		})
	}
}

// An engine that is expected to reopen but doesn't keeps no quick request queued beyond
// its target.
func TestNoRequestWaitsBeyondItsTargetForOnlyEngine(t *testing.T) {
	for _, tc := range closedCases {
		if tc.reopensAfter == 0 {
			continue
		}
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(1, 1, 4)
			tc.closeEngine(fx)
			fx.now += tc.reopensAfter - 100
			submittedAt := fx.now
			spec := quick("qa")
			fx.step(Submit{Spec: spec})
			for fx.refusals["qa"].Refusal.Reason == "" && fx.now < submittedAt+spec.TTFT {
				fx.now += 10
				fx.step(Tick{})
			}
			assert.Equal(t, fx.refusals["qa"].Refusal.Ran, refusal.NotRun)
			assert.Equal(t, fx.refusals["qa"].Refusal.Reason, refusal.TargetUnreachable)
			_, granted := fx.grants["qa"]
			assert.Assert(t, !granted)
		})
	}
}
