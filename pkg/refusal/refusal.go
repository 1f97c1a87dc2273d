// Package refusal defines the refusals with which a request can end without an
// answer. A refusal must always be truthful.
//
// A refusal states whether the request ran. [NotRun] is a guarantee: no backend
// server was ever sent the request, or the backend server itself reported that it
// did not start it. Everything that is not certain is [MayHaveRun].
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

// Values of Ran.
const (
	// NotRun guarantees that the request did not run.
	NotRun Ran = "NotRun"
	// MayHaveRun is used whenever NotRun cannot be guaranteed.
	MayHaveRun Ran = "MayHaveRun"
)

// Reasons. Each has its own counter, named after it.
const (
	BadRequest         Reason = "BadRequest"
	TooLarge           Reason = "TooLarge"
	UnknownCustomer    Reason = "UnknownCustomer"
	UnknownClass       Reason = "UnknownClass"
	UnknownService     Reason = "UnknownService"
	KeyReused          Reason = "KeyReused"          // same key with a different request
	KeyInDoubt         Reason = "KeyInDoubt"         // a request with the key may have run on another VM
	HomeUnreachable    Reason = "HomeUnreachable"    // the VMs that hold the key are unreachable
	SchedulerAway      Reason = "SchedulerAway"      // the VM that schedules the backend servers is unreachable
	QueueFull          Reason = "QueueFull"          // the wait queue is full
	TargetUnreachable  Reason = "TargetUnreachable"  // the latency target can no longer be met
	ShareExceeded      Reason = "ShareExceeded"      // the customer's share or quota is used up
	QuotaAway          Reason = "QuotaAway"          // the VM that keeps the customers' quotas is unreachable
	NoBackend          Reason = "NoBackend"          // no backend server is suitable for the request
	VersionUnknown     Reason = "VersionUnknown"     // the software version that began the stream is not known
	VersionGone        Reason = "VersionGone"        // no server of the software version that began the stream is left
	ServersUnreachable Reason = "ServersUnreachable" // this VM has no path to the backend servers
	ServersLimited     Reason = "ServersLimited"     // the servers take no more calls per second from all VMs together
	DeadlinePassed     Reason = "DeadlinePassed"     // the request's own deadline passed
	Draining           Reason = "Draining"           // this VM is leaving
	Starting           Reason = "Starting"           // this VM has not received the configuration yet
	RetriesExhausted   Reason = "RetriesExhausted"   // the retry budget or the attempts are used up
	BackendFailed      Reason = "BackendFailed"      // a backend server failed or broke the connection
	EndsServers        Reason = "EndsServers"        // backend servers crashed when they ran the request
	CallerGone         Reason = "CallerGone"         // the caller did not reconnect for the answer in time
	AnswerExpired      Reason = "AnswerExpired"      // the answer was complete but is no longer kept
	VMLost             Reason = "VMLost"             // the VM that ran the request died
	TooManyConnections Reason = "TooManyConnections" // connection limit of this VM reached
)

type (
	// Ran states whether a refused request ran.
	Ran string

	// Reason states why a request was refused.
	Reason string

	// Refusal is the truthful outcome of a request that got no answer. A request
	// has at most one. It is an immutable value; use the With methods to derive
	// another.
	Refusal struct {
		Ran        Ran
		Reason     Reason
		RetryAfter clock.Millis // when to retry; zero means that a retry is useless
		Detail     string       // a short explanation for humans; never contains a prompt or a secret
	}
)

// Error returns the outcome, the reason and the detail.
func (rf Refusal) Error() string {
	return fmt.Sprintf("refused (%s): %s: %s", rf.Ran, rf.Reason, rf.Detail)
}

// WithRan returns the refusal with another Ran.
func (rf Refusal) WithRan(ran Ran) Refusal {
	rf.Ran = ran
	return rf
}

// WithRetryAfter returns the refusal with another RetryAfter.
func (rf Refusal) WithRetryAfter(span clock.Millis) Refusal {
	rf.RetryAfter = span
	return rf
}

// WithDetail returns the refusal with another Detail.
func (rf Refusal) WithDetail(detail string) Refusal {
	rf.Detail = detail
	return rf
}
