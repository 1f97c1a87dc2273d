// Package invariant tells what must always hold from what cannot hold: it
// reads what callers got, what backend servers did, which revisions VMs saw
// and which stops were planned, and reports every violation.
//
// It knows nothing of how the histories came about, so that the same rules
// judge tests with real processes, tests in one process and benchmarks. The
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

// Rules.
const (
	// Held: no engine holds memory for a request beyond MaxHoldAfterEnd after its
	// last caller had an end or left, and none holds any when the history
	// was taken.
	Held Rule = "Held"
	// OneEnd: each call has exactly one end, and calls with one key never
	// get two answers that differ.
	OneEnd Rule = "OneEnd"
	// WrongAnswer: what a caller got is the answer to its own request, and
	// an answer that counts as whole is whole.
	WrongAnswer Rule = "WrongAnswer"
	// FalseNotRun: a request of which every call was told NotRun did not run.
	FalseNotRun Rule = "FalseNotRun"
	// RanTwice: a request that is not idempotent runs at most once.
	RanTwice Rule = "RanTwice"
	// UsedLeaving: a leaving backend server begins nothing new beyond
	// MaxStartAfterLeaving.
	UsedLeaving Rule = "UsedLeaving"
	// CutOff: a call in progress during a planned stop has a whole answer,
	// and the stop ends by itself.
	CutOff Rule = "CutOff"
	// Reverted: the revision that a VM has in force never goes back.
	Reverted Rule = "Reverted"
	// LateInForce: an accepted revision is in force at each VM that can be
	// reached within MaxActivationDelay.
	LateInForce Rule = "LateInForce"
)

// Bounds that need no setting.
const (
	// MaxStartAfterLeaving is the time in which a leaving backend server's last new
	// work may still begin.
	MaxStartAfterLeaving = 3 * clock.Second
	// MaxActivationDelay is the time from acceptance until a revision is in
	// force everywhere.
	MaxActivationDelay = 4 * clock.Second
)

type (
	// Rule names one of the rules.
	Rule string

	// Violation is one breach of a rule.
	Violation struct {
		Rule    Rule
		Subject string // the request, VM or backend server
		Detail  string
	}

	// History is all that happened until it was taken. The zero value is an
	// empty history.
	History struct {
		Calls             []Call
		Engines           []enginesim.History
		Services          []servicesim.History
		LeavingServers    []LeavingServer
		PlannedStops      []PlannedStop
		ObservedRevisions []ObservedRevision // of each VM in the order of time
		Publications      []Publication

		// MaxHoldAfterEnd bounds how long an engine may hold a request whose
		// callers have their end or are gone. Zero leaves out that part of
		// the rule Held.
		MaxHoldAfterEnd clock.Millis
	}

	// Call is one call of one caller, over all its tries.
	Call struct {
		Customer   string
		Key        string
		Idempotent bool
		Request    Request
		Received   string // what came of the answer, in order, also if it broke off
		Outcomes   []Outcome
		Began      time.Time
		Ended      time.Time // or when the caller left
	}

	// Request is what a call asked for: Chat or Plain.
	Request interface{ expectedAnswer() string }

	// Chat is a request to a model service.
	Chat struct {
		Prompt string // as the engines get it
		Tokens int    // length of the whole answer
	}

	// Plain is a call of a plain service.
	Plain struct {
		Method string
		Path   string
		Body   string
	}

	// Outcome of a call: Complete, Refused or CallerLeft.
	Outcome interface{ outcome() }

	// Complete is a whole answer, which is in Call.Received.
	Complete struct{}

	// Refused is a refusal.
	Refused struct{ Refusal refusal.Refusal }

	// CallerLeft is a caller that went and asked no more.
	CallerLeft struct{}

	// LeavingServer is a backend server that leaves.
	LeavingServer struct {
		Server string
		Since  time.Time
	}

	// PlannedStop is a planned stop of a VM.
	PlannedStop struct {
		VM       string
		Began    time.Time
		Ended    time.Time // zero: it did not end
		ExitCode int
	}

	// ObservedRevision is a revision that a VM had in force.
	ObservedRevision struct {
		VM       string // with its incarnation, if it was replaced
		Customer string
		Revision uint64
		At       time.Time
	}

	// Publication is an accepted revision and the VMs that must get it.
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

// Error makes a Violation usable as an error.
func (vi Violation) Error() string { return fmt.Sprintf("%s: %s: %s", vi.Rule, vi.Subject, vi.Detail) }

// RequestName is how backend servers name the request of a call.
func (ca Call) RequestName() string { return ca.Customer + "/" + ca.Key }

// Check reports all violations; none means that every rule holds.
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
