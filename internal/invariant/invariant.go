// Package invariant checks the recorded history of a run against rules that
// must always hold. It reads what callers received, what backend servers
// executed, which revisions VMs had active and which stops were planned, and
// reports every violation.
//
// It does not depend on how the history was recorded, so that the same rules
// apply to tests with real processes, tests in one process and benchmarks. The
// router never imports it.
//
// # Usage
//
//	hs := invariant.History{Calls: calls, Engines: engines, Services: services, MaxHoldAfterEnd: 12 * clock.Second}
//	for _, vi := range invariant.Check(hs) {
//		t.Error(vi)
//	}
package invariant

import (
	"fmt"
	"time"

	enginesim "alderdyke/internal/standin/engine"
	servicesim "alderdyke/internal/standin/service"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Rules of a history.
const (
	// Held: no engine holds memory for a request longer than MaxHoldAfterEnd
	// after the last call for it ended or its caller left, and no engine
	// holds any memory when the history is taken.
	Held Rule = "Held"
	// OneEnd: each call has exactly one outcome, and calls with the same key
	// never receive different answers.
	OneEnd Rule = "OneEnd"
	// WrongAnswer: a caller receives only the answer to its own request, and
	// an answer that is reported complete is complete.
	WrongAnswer Rule = "WrongAnswer"
	// FalseNotRun: a request whose calls were all refused with NotRun did not run.
	FalseNotRun Rule = "FalseNotRun"
	// RanTwice: a request that is not idempotent runs at most once.
	RanTwice Rule = "RanTwice"
	// UsedLeaving: a leaving backend server starts no work later than
	// MaxStartAfterLeaving after it began to leave.
	UsedLeaving Rule = "UsedLeaving"
	// CutOff: a call in progress during a planned stop receives a complete
	// answer, and the stop ends on its own with exit code 0.
	CutOff Rule = "CutOff"
	// Reverted: the active revision of a VM never decreases.
	Reverted Rule = "Reverted"
	// LateInForce: an accepted revision is active at each reachable VM within
	// MaxActivationDelay.
	LateInForce Rule = "LateInForce"
)

// Time limits that do not depend on a setting.
const (
	// MaxStartAfterLeaving is the time for which a leaving backend server may
	// still start work.
	MaxStartAfterLeaving = 3 * clock.Second
	// MaxActivationDelay is the time from acceptance until a revision is
	// active at all VMs.
	MaxActivationDelay = 4 * clock.Second
)

type (
	// Rule identifies one of the rules.
	Rule string

	// Violation describes one breach of a rule.
	Violation struct {
		Rule    Rule
		Subject string // the request, VM or backend server
		Detail  string
	}

	// History holds everything recorded up to the time when it was taken. The
	// zero value is an empty history.
	History struct {
		Calls             []Call
		Engines           []enginesim.History
		Services          []servicesim.History
		LeavingServers    []LeavingServer
		PlannedStops      []PlannedStop
		ObservedRevisions []ObservedRevision // in time order for each VM
		Publications      []Publication

		// MaxHoldAfterEnd bounds how long an engine may hold memory for a
		// request after its last call has ended. Zero skips that part of the
		// rule Held.
		MaxHoldAfterEnd clock.Millis
	}

	// Call records one call of one caller, including all its attempts.
	Call struct {
		Customer   string
		Key        string
		Idempotent bool
		Request    Request
		Received   string // the part of the answer that arrived, in order, even if the answer was interrupted
		Outcomes   []Outcome
		Began      time.Time
		Ended      time.Time // when it ended or its caller left
	}

	// Request is the request of a call: Chat or Plain.
	Request interface{ expectedAnswer() string }

	// Chat is a request to a model service.
	Chat struct {
		Prompt string // as the engines receive it
		Tokens int    // length of the complete answer
	}

	// Plain is a request to a plain service.
	Plain struct {
		Method string
		Path   string
		Body   string
	}

	// Outcome is how a call ended: Complete, Refused or CallerLeft.
	Outcome interface{ outcome() }

	// Complete is a complete answer, which is in Call.Received.
	Complete struct{}

	// Refused is a refusal.
	Refused struct{ Refusal refusal.Refusal }

	// CallerLeft is the outcome of a call whose caller left and did not retry.
	CallerLeft struct{}

	// LeavingServer records when a backend server began to leave.
	LeavingServer struct {
		Server string
		Since  time.Time
	}

	// PlannedStop records a planned stop of a VM.
	PlannedStop struct {
		VM       string
		Began    time.Time
		Ended    time.Time // zero if it did not end
		ExitCode int
	}

	// ObservedRevision is a revision that a VM had active at a point in time.
	ObservedRevision struct {
		VM       string // with its incarnation, if it was replaced
		Customer string
		Revision uint64
		At       time.Time
	}

	// Publication is an accepted revision and the VMs that must activate it.
	Publication struct {
		Customer string
		Revision uint64
		Accepted time.Time
		VMs      []string
	}
)

func (Complete) outcome()   {}
func (Refused) outcome()    {}
func (CallerLeft) outcome() {}

// Error formats the violation as rule, subject and detail.
func (vi Violation) Error() string { return fmt.Sprintf("%s: %s: %s", vi.Rule, vi.Subject, vi.Detail) }

// RequestName returns the name under which backend servers record the request.
func (ca Call) RequestName() string { return ca.Customer + "/" + ca.Key }

// Check returns all violations of the rules; an empty result means that every rule holds.
func Check(hs History) []Violation {
	var out []Violation
	for _, check := range []func(History) []Violation{
		checkHeldResources, checkCalls, checkKeys, checkLeavingServers, checkPlannedStops, checkReverted, checkActivation,
	} {
		out = append(out, check(hs)...)
	}
	return out
}

func violation(rule Rule, subject, form string, args ...any) Violation {
	return Violation{Rule: rule, Subject: subject, Detail: fmt.Sprintf(form, args...)}
}
