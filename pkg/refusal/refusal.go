// Package refusal holds the truthful ways in which a request can end without
// an answer.
//
// A refusal says whether the request ran. [NotRun] is a promise: no backend
// server was ever sent the request, or the backend server itself said that it
// did not begin. Everything that cannot be known is [MayHaveRun].
//
// # Usage
//
//	err := refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.QueueFull, RetryAfter: 2 * clock.Second}
//	var rf refusal.Refusal
//	if errors.As(err, &rf) { ... }
package refusal

import (
	"fmt"

	"alderdyke/pkg/clock"
)

// Whether a refused request ran.
const (
	// NotRun is a promise that the request did not run.
	NotRun Ran = "NotRun"
	// MayHaveRun is said whenever NotRun cannot be promised.
	MayHaveRun Ran = "MayHaveRun"
)

// Reasons. Each has a counter of its own, named after it.
const (
	BadRequest         Reason = "BadRequest"
	TooLarge           Reason = "TooLarge"
	UnknownCustomer    Reason = "UnknownCustomer"
	UnknownClass       Reason = "UnknownClass"
	UnknownService     Reason = "UnknownService"
	KeyReused          Reason = "KeyReused"          // same key, different request
	KeyInDoubt         Reason = "KeyInDoubt"         // the key may have run elsewhere
	HomeUnreachable    Reason = "HomeUnreachable"    // the VMs that account for the key can't be asked
	SchedulerAway      Reason = "SchedulerAway"      // the VM that accounts for the backend servers can't be asked
	QueueFull          Reason = "QueueFull"          // bound of the wait queue reached
	TargetUnreachable  Reason = "TargetUnreachable"  // the latency target can't be met any more
	ShareExceeded      Reason = "ShareExceeded"      // the customer's share, or its quota, is used up
	QuotaAway          Reason = "QuotaAway"          // the VM that keeps the customers' quotas can't be asked
	NoBackend          Reason = "NoBackend"          // no backend server is fit for the request
	DeadlinePassed     Reason = "DeadlinePassed"     // the request's own deadline
	Draining           Reason = "Draining"           // this VM is leaving
	Starting           Reason = "Starting"           // configuration not learned yet
	RetriesExhausted   Reason = "RetriesExhausted"   // budget or attempts used up
	BackendFailed      Reason = "BackendFailed"      // a backend server failed or broke off
	EndsServers        Reason = "EndsServers"        // backend servers ended when they ran the request
	CallerGone         Reason = "CallerGone"         // nobody came back for the answer in time
	AnswerExpired      Reason = "AnswerExpired"      // the answer was complete, but is no longer kept
	VMLost             Reason = "VMLost"             // the VM that ran the request died
	TooManyConnections Reason = "TooManyConnections" // limit of this VM
)

type (
	// Ran tells whether a refused request ran.
	Ran string

	// Reason tells why a request was refused.
	Reason string

	// Refusal is the one truthful end of a request that got no answer. It is
	// an immutable value; use the With methods to derive another.
	Refusal struct {
		Ran        Ran
		Reason     Reason
		RetryAfter clock.Millis // when to try again; zero means that trying again is of no use
		Detail     string       // a few words for a person; never holds a prompt or a secret
	}
)

// Error makes a Refusal usable as an error.
func (rf Refusal) Error() string {
	return fmt.Sprintf("refused (%s): %s: %s", rf.Ran, rf.Reason, rf.Detail)
}

// WithRan returns the refusal with another answer to whether it ran.
func (rf Refusal) WithRan(ran Ran) Refusal {
	rf.Ran = ran
	return rf
}

// WithRetryAfter returns the refusal with another time to try again.
func (rf Refusal) WithRetryAfter(span clock.Millis) Refusal {
	rf.RetryAfter = span
	return rf
}

// WithDetail returns the refusal with another explanation.
func (rf Refusal) WithDetail(detail string) Refusal {
	rf.Detail = detail
	return rf
}
