package invariant_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/internal/invariant"
	"alderdyke/internal/sched"
	"alderdyke/internal/standin"
	enginesim "alderdyke/internal/standin/engine"
	servicesim "alderdyke/internal/standin/service"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const (
	note   = "field notes"
	tokens = 4
)

var (
	start  = time.Unix(1000, 0)
	answer = strings.Join(standin.Answer(note, tokens), "")
)

func at(span clock.Millis) time.Time { return start.Add(span.Std()) }

// validHistory returns a history that satisfies every rule and exercises each of them.
func validHistory() invariant.History {
	reply := standin.Reply("POST", "/payments", nil)
	stages := func(began clock.Millis) []enginesim.StageTime {
		return []enginesim.StageTime{{Stage: sched.Prefilling, At: began}}
	}
	return invariant.History{
		MaxHoldAfterEnd: 2 * clock.Second,
		Calls: []invariant.Call{{
			Customer: "cu", Key: "chat", Idempotent: true, Request: invariant.Chat{Prompt: note, Tokens: tokens},
			Received: answer, Outcomes: []invariant.Outcome{invariant.Complete{}}, Began: at(0), Ended: at(5000),
		}, {
			Customer: "cu", Key: "pay", Request: invariant.Plain{Method: "POST", Path: "/payments"},
			Received: reply, Outcomes: []invariant.Outcome{invariant.Complete{}}, Began: at(0), Ended: at(100),
		}, {
			Customer: "cu", Key: "full", Request: invariant.Plain{Method: "POST", Path: "/payments"},
			Outcomes: []invariant.Outcome{invariant.Refused{Refusal: refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QueueFull}}},
			// It ended before the planned stop began.
			Began: at(0), Ended: at(50),
		}},
		Engines: []enginesim.History{
			{Server: "p1", Started: start, Now: 9000, Runs: []*enginesim.Run{{
				Request: "cu/chat/1.0", Role: board.Prefill, Outcome: enginesim.Complete, EndedAt: 1000, Stages: stages(10),
			}}},
			{Server: "d1", Started: start, Now: 9000, Runs: []*enginesim.Run{{
				Request: "cu/chat/1.0", Role: board.Decode, Decodes: 1, Outcome: enginesim.Complete, EndedAt: 5000, Stages: stages(1000),
			}}},
		},
		Services: []servicesim.History{{Server: "s1", Started: start, Now: 9000, Runs: []servicesim.Run{
			{Key: "cu/pay", At: 10, EndedAt: 90},
		}}},
		LeavingServers: []invariant.LeavingServer{{Server: "s1", Since: at(8)}, {Server: "p1", Since: at(9)}},
		PlannedStops:   []invariant.PlannedStop{{VM: "vm-1", Began: at(60), Ended: at(6000)}},
		ObservedRevisions: []invariant.ObservedRevision{
			{VM: "vm-1", Customer: "cu", Revision: 1, At: at(0)}, {VM: "vm-1", Customer: "cu", Revision: 3, At: at(900)},
		},
		Publications: []invariant.Publication{{Customer: "cu", Revision: 3, Accepted: at(500), VMs: []string{"vm-1"}}},
	}
}

func TestValidHistoryPasses(t *testing.T) {
	assert.Equal(t, len(invariant.Check(validHistory())), 0, "%v", invariant.Check(validHistory()))
}

// Each history breaks exactly one rule, and the check must report that rule alone.
func TestBrokenHistoriesAreRejected(t *testing.T) {
	notRun := invariant.Refused{Refusal: refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QueueFull}}
	mayHaveRun := invariant.Refused{Refusal: refusal.Refusal{Ran: refusal.MayHaveRun, Reason: refusal.VMLost}}
	for name, tc := range map[string]struct {
		rule    invariant.Rule
		corrupt func(hs *invariant.History)
	}{
		"a slot is held":                 {invariant.Held, func(hs *invariant.History) { hs.Engines[1].SlotsHeld = 1 }},
		"a KV cache is kept":             {invariant.Held, func(hs *invariant.History) { hs.Engines[0].KVKept = 1 }},
		"a run has not ended":            {invariant.Held, func(hs *invariant.History) { hs.Engines[0].Unfinished = 1 }},
		"a run ended late":               {invariant.Held, func(hs *invariant.History) { hs.Engines[1].Runs[0].EndedAt = 7001 }},
		"a run continues without a call": {invariant.Held, func(hs *invariant.History) { hs.Engines[1].Runs[0].Outcome = "" }},
		"no outcome":                     {invariant.OneEnd, func(hs *invariant.History) { hs.Calls[2].Outcomes = nil }},
		"an answer and a refusal": {invariant.OneEnd, func(hs *invariant.History) {
			hs.Calls[0].Outcomes = append(hs.Calls[0].Outcomes, mayHaveRun)
		}},
		"two complete outcomes": {invariant.OneEnd, func(hs *invariant.History) {
			hs.Calls[0].Outcomes = append(hs.Calls[0].Outcomes, invariant.Complete{})
		}},
		"two answers for one key": {invariant.OneEnd, func(hs *invariant.History) {
			other := hs.Calls[0]
			other.Request = invariant.Chat{Prompt: note, Tokens: 2}
			other.Received = strings.Join(standin.Answer(note, 2), "")
			hs.Calls = append(hs.Calls, other)
		}},
		"a token is missing": {invariant.WrongAnswer, func(hs *invariant.History) { hs.Calls[0].Received = answer[9:] }},
		"the last token is missing": {invariant.WrongAnswer, func(hs *invariant.History) {
			hs.Calls[0].Received = answer[:len(answer)-9]
		}},
		"a token is repeated": {invariant.WrongAnswer, func(hs *invariant.History) { hs.Calls[0].Received = answer + answer[27:] }},
		"the answer to another call": {invariant.WrongAnswer, func(hs *invariant.History) {
			hs.Calls[1].Received = standin.Reply("POST", "/payments", []byte("other"))
		}},
		"a token of another answer before a refusal": {invariant.WrongAnswer, func(hs *invariant.History) {
			hs.Calls[0].Received = standin.Answer("other notes", 1)[0]
			hs.Calls[0].Outcomes = []invariant.Outcome{mayHaveRun}
			hs.PlannedStops = nil
		}},
		"not run, but a service ran it": {invariant.FalseNotRun, func(hs *invariant.History) {
			hs.Services[0].Runs = append(hs.Services[0].Runs, servicesim.Run{Key: "cu/full", At: 20, EndedAt: 30})
		}},
		"not run, but a prefill ran": {invariant.FalseNotRun, func(hs *invariant.History) {
			hs.Calls[0].Outcomes, hs.Calls[0].Received, hs.PlannedStops = []invariant.Outcome{notRun}, "", nil
		}},
		"not idempotent and run twice": {invariant.RanTwice, func(hs *invariant.History) {
			hs.Services = append(hs.Services, servicesim.History{Server: "s2", Started: start, Runs: hs.Services[0].Runs})
		}},
		"not idempotent and decoded twice": {invariant.RanTwice, func(hs *invariant.History) {
			hs.Calls[0].Idempotent = false
			hs.Engines[1].Runs = append(hs.Engines[1].Runs, &enginesim.Run{
				Request: "cu/chat/2.0", Role: board.Decode, Decodes: 1, Outcome: enginesim.Complete, EndedAt: 4000,
			})
		}},
		"a leaving server was used": {invariant.UsedLeaving, func(hs *invariant.History) { hs.Services[0].Runs[0].At = 3009 }},
		"a leaving engine was used": {invariant.UsedLeaving, func(hs *invariant.History) { hs.Engines[0].Runs[0].Stages[0].At = 3010 }},
		"a stop interrupted a call": {invariant.CutOff, func(hs *invariant.History) {
			hs.Calls[0].Outcomes, hs.Calls[0].Received = []invariant.Outcome{mayHaveRun}, answer[:9]
		}},
		"a stop never ended":      {invariant.CutOff, func(hs *invariant.History) { hs.PlannedStops[0].Ended = time.Time{} }},
		"a stop ended in failure": {invariant.CutOff, func(hs *invariant.History) { hs.PlannedStops[0].ExitCode = 1 }},
		"a revision decreased": {invariant.Reverted, func(hs *invariant.History) {
			hs.ObservedRevisions = append(hs.ObservedRevisions, invariant.ObservedRevision{VM: "vm-1", Customer: "cu", Revision: 2, At: at(950)})
		}},
		"a revision became active late":  {invariant.LateInForce, func(hs *invariant.History) { hs.ObservedRevisions[1].At = at(4501) }},
		"a revision never became active": {invariant.LateInForce, func(hs *invariant.History) { hs.Publications[0].Revision = 4 }},
		"a revision never became active at one VM": {invariant.LateInForce, func(hs *invariant.History) {
			hs.Publications[0].VMs = append(hs.Publications[0].VMs, "vm-2")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			hs := validHistory()
			tc.corrupt(&hs)
			found := invariant.Check(hs)
			assert.Assert(t, len(found) > 0)
			for _, vi := range found {
				assert.Equal(t, vi.Rule, tc.rule, "%v", found)
			}
		})
	}
}

// A caller that left need not receive an answer. A refusal with NotRun is true even if
// another call with the same key ran.
func TestAllowedHistories(t *testing.T) {
	hs := validHistory()
	left := hs.Calls[0]
	left.Outcomes, left.Received = []invariant.Outcome{invariant.CallerLeft{}}, answer[:18]
	early := hs.Calls[1]
	early.Outcomes, early.Received = hs.Calls[2].Outcomes, ""
	early.Ended = at(30)
	hs.Calls = append(hs.Calls, left, early)
	assert.Equal(t, len(invariant.Check(hs)), 0, "%v", invariant.Check(hs))
}

func ExampleCheck() {
	hs := invariant.History{Calls: []invariant.Call{{Customer: "cu", Key: "k", Request: invariant.Plain{Method: "GET", Path: "/a"}}}}
	for _, vi := range invariant.Check(hs) {
		fmt.Println(vi.Error())
	}
	// Output: OneEnd: cu/k: 0 outcomes
}
