package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/wellformed"
	"alderdyke/pkg/clock"
)

// Headers with which a backend server reports that it did not begin a call.
const (
	// DeclinedHeader holds the Reason. It counts only with a status of 400 or higher.
	DeclinedHeader = "Alderdyke-Declined"
	// RetryAfterHeader holds a duration such as "250ms" after which the call may be
	// retried.
	RetryAfterHeader = "Alderdyke-Retry-After"
)

// Reasons for which a backend server declines a call.
const (
	Full           Reason = "Full"           // no memory slot, or no room in the queue
	Leaving        Reason = "Leaving"        // accepts no new work
	StaleFence     Reason = "StaleFence"     // the call has an outdated fencing token
	NoKV           Reason = "NoKV"           // the KV cache is not kept, or no longer kept
	TransferFailed Reason = "TransferFailed" // the KV cache did not arrive complete; nothing is held
	Cancelled      Reason = "Cancelled"      // the request was cancelled earlier
	WrongRole      Reason = "WrongRole"      // the engine has the other role
	Unknown        Reason = "Unknown"        // the server does not know the request
	Unauthorized   Reason = "Unauthorized"   // the token is invalid
	BadOrder       Reason = "BadOrder"       // the call can't be parsed
	Refused        Reason = "Refused"        // the server accepts no calls at present
	// Duplicate reports that an earlier call with the same request and attempt was
	// accepted. The outcome of that call is not known, so it is reported as an
	// InDoubtError.
	Duplicate Reason = "Duplicate"
	// Other stands for every reason that is not in this list.
	Other Reason = "Other"
)

// Kinds of outcome. They are also the values of the Outcome tag of counters.
const (
	Done     Outcome = "Done"     // the server answered
	NotSent  Outcome = "NotSent"  // no byte of the call left this VM
	Declined Outcome = "Declined" // the server reported that it did not begin
	InDoubt  Outcome = "InDoubt"  // whether the call had its effect is unknown
)

// maxRetryAfter limits how long a server is left without calls: a garbled value must
// not exclude it indefinitely.
const maxRetryAfter = 5 * clock.Minute

// knownReasons are all reasons except Other.
var knownReasons = map[Reason]bool{
	Full: true, Leaving: true, StaleFence: true, NoKV: true, TransferFailed: true,
	Cancelled: true, WrongRole: true, Unknown: true, Unauthorized: true,
	BadOrder: true, Refused: true, Duplicate: true,
}

type (
	// Reason is why a backend server declined a call.
	Reason string

	// Outcome is how a call ended.
	Outcome string

	// NotSentError reports that no byte of the call was written to a connection: it
	// did not run.
	NotSentError struct {
		Server string
		Call   string
		Err    error
	}

	// DeclinedError reports that the server answered that it did not begin the call:
	// it did not run, and the server holds nothing for it.
	DeclinedError struct {
		Server     string
		Call       string
		Reason     Reason
		RetryAfter clock.Millis // zero if the server named none
	}

	// InDoubtError reports that the call may have had its effect: bytes may have been
	// sent, and no complete answer came back.
	InDoubtError struct {
		Server string
		Call   string
		Status int    // zero if there was none
		Reason Reason // empty if the server gave none
		Err    error
	}
)

// Error names the server and the call.
func (ne NotSentError) Error() string {
	return fmt.Sprintf("%s to %s was not sent: %v", ne.Call, ne.Server, ne.Err)
}

// Unwrap returns the cause.
func (ne NotSentError) Unwrap() error { return ne.Err }

// Error names the server, the call and the reason.
func (de DeclinedError) Error() string {
	return fmt.Sprintf("%s was declined by %s: %s", de.Call, de.Server, de.Reason)
}

// Error names the server and the call.
func (ie InDoubtError) Error() string {
	text := fmt.Sprintf("%s to %s may have run", ie.Call, ie.Server)
	if ie.Status != 0 {
		text += fmt.Sprintf(", status %d", ie.Status)
	}
	if ie.Reason != "" {
		text += ", " + string(ie.Reason)
	}
	if ie.Err != nil {
		text += ": " + ie.Err.Error()
	}
	return text
}

// Unwrap returns the cause, if there is one.
func (ie InDoubtError) Unwrap() error { return ie.Err }

// Responded reports whether the server sent a response, although it may be malformed.
func (ie InDoubtError) Responded() bool {
	return ie.Status != 0 || errors.Is(ie.Err, wellformed.ErrStatus) || errors.Is(ie.Err, wellformed.ErrFieldName)
}

// NotReached reports whether a call was not sent because no connection to the server
// was established. A call that its sender cancelled shows nothing about the server.
func NotReached(err error) bool {
	ne, ok := errors.AsType[NotSentError](err)
	if !ok || errors.Is(err, context.Canceled) {
		return false
	}
	_, network := errors.AsType[net.Error](ne.Err)
	return network
}

// OutcomeOf returns the outcome and the reason that an error stands for. An error of
// an unknown kind counts as in doubt.
func OutcomeOf(err error) (Outcome, Reason) {
	if err == nil {
		return Done, ""
	}
	if _, ok := errors.AsType[NotSentError](err); ok {
		return NotSent, ""
	}
	if de, ok := errors.AsType[DeclinedError](err); ok {
		return Declined, de.Reason
	}
	ie, _ := errors.AsType[InDoubtError](err)
	return InDoubt, ie.Reason
}

// Count counts the outcome of a call by its reason and returns it. A nil scope counts
// nothing.
func Count(scope tally.Scope, counter, call string, err error) Outcome {
	oc, rs := OutcomeOf(err)
	if scope != nil {
		tags := map[string]string{"Call": call, "Outcome": string(oc), "Reason": string(rs)}
		scope.Tagged(tags).Counter(counter).Inc(1)
	}
	return oc
}

// NotRun reports whether an error guarantees that the call did not run.
func NotRun(err error) bool {
	oc, _ := OutcomeOf(err)
	return oc == NotSent || oc == Declined
}

// RetryAfterOf returns the server that declined a call and how long this VM is to
// send it nothing, at most maxRetryAfter; zero if the server asked for no pause.
func RetryAfterOf(err error) (server string, span clock.Millis) {
	de, _ := errors.AsType[DeclinedError](err)
	return de.Server, min(de.RetryAfter, maxRetryAfter)
}

// DeclinedBy returns the error of a response that declines the call, nil if it does
// not decline it, and an InDoubtError for a duplicate.
func DeclinedBy(server, call string, rsp *http.Response) error {
	said := Reason(rsp.Header.Get(DeclinedHeader))
	if said == "" || rsp.StatusCode < http.StatusBadRequest {
		return nil
	}
	if !knownReasons[said] {
		said = Other
	}
	if said == Duplicate {
		return InDoubtError{Server: server, Call: call, Status: rsp.StatusCode, Reason: said}
	}
	de := DeclinedError{Server: server, Call: call, Reason: said}
	var after clock.Millis
	if err := after.UnmarshalText([]byte(rsp.Header.Get(RetryAfterHeader))); err == nil && after > 0 {
		de.RetryAfter = after
	}
	return de
}
