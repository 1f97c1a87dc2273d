package backend

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/uber-go/tally/v4"

	"alderdyke/pkg/clock"
)

// Headers in which a backend server says that it did not begin a call.
const (
	// DeclinedHeader holds the Reason. It counts only beside a status of 400
	// or more.
	DeclinedHeader = "Alderdyke-Declined"
	// RetryAfterHeader holds a span such as "250ms" after which the call may
	// be tried again.
	RetryAfterHeader = "Alderdyke-Retry-After"
)

// Reasons for which a backend server declines a call.
const (
	Full           Reason = "Full"           // no memory slot or no room in the queue
	Leaving        Reason = "Leaving"        // takes no new work
	StaleFence     Reason = "StaleFence"     // carries an old fencing number
	NoKV           Reason = "NoKV"           // the KV cache is not kept, or not kept any more
	TransferFailed Reason = "TransferFailed" // the KV cache did not arrive whole; nothing is held
	Cancelled      Reason = "Cancelled"      // the request was cancelled before
	WrongRole      Reason = "WrongRole"      // the engine has the other role
	Unknown        Reason = "Unknown"        // the server does not know the request
	Unauthorized   Reason = "Unauthorized"   // the token is wrong
	BadOrder       Reason = "BadOrder"       // the call can't be read
	Refused        Reason = "Refused"        // the server takes no call at present
	// Duplicate tells that an earlier call with the same request and attempt
	// was taken. What became of it is not said, so it is reported as an
	// InDoubtError.
	Duplicate Reason = "Duplicate"
	// Other stands for every reason that is not in this list.
	Other Reason = "Other"
)

// Kinds of outcome, which are also the values of the Outcome tag of counters.
const (
	Done     Outcome = "Done"     // the server answered
	NotSent  Outcome = "NotSent"  // no byte of the call left this VM
	Declined Outcome = "Declined" // the server said that it did not begin
	InDoubt  Outcome = "InDoubt"  // whether the call had its effect can't be known
)

// maxRetryAfter bounds the rest that a server is given: a word that was garbled must not
// take it out for good.
const maxRetryAfter = 5 * clock.Minute

var knownReasons = map[Reason]bool{
	Full: true, Leaving: true, StaleFence: true, NoKV: true, TransferFailed: true,
	Cancelled: true, WrongRole: true, Unknown: true, Unauthorized: true,
	BadOrder: true, Refused: true, Duplicate: true,
}

type (
	// Reason tells why a backend server declined a call.
	Reason string

	// Outcome is one of the ways in which a call can end.
	Outcome string

	// NotSentError tells that no byte of the call was handed to a
	// connection: it did not run.
	NotSentError struct {
		Server string
		Call   string
		Err    error
	}

	// DeclinedError tells that the server itself said that it did not begin
	// the call: it did not run, and the server holds nothing for it.
	DeclinedError struct {
		Server     string
		Call       string
		Reason     Reason
		RetryAfter clock.Millis // zero if the server named none
	}

	// InDoubtError tells that the call may have had its effect: bytes may
	// have left, and no whole answer came back.
	InDoubtError struct {
		Server string
		Call   string
		Status int    // HTTP status, if one came
		Reason Reason // what the server said, if it said something
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

// OutcomeOf tells the outcome that an error stands for. An error of another
// kind counts as in doubt.
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

// Count counts the outcome of a call by its reason and returns it. A nil
// scope counts nothing.
func Count(scope tally.Scope, counter, call string, err error) Outcome {
	oc, rs := OutcomeOf(err)
	if scope != nil {
		tags := map[string]string{"Call": call, "Outcome": string(oc), "Reason": string(rs)}
		scope.Tagged(tags).Counter(counter).Inc(1)
	}
	return oc
}

// NotRun tells whether an error promises that the call did not run.
func NotRun(err error) bool {
	oc, _ := OutcomeOf(err)
	return oc == NotSent || oc == Declined
}

// RetryAfterOf is the server that declined a call and how long it wants to get nothing more
// from this VM; zero: it asked for no rest.
func RetryAfterOf(err error) (server string, span clock.Millis) {
	de, _ := errors.AsType[DeclinedError](err)
	return de.Server, min(de.RetryAfter, maxRetryAfter)
}

// DeclinedBy reads whether a response declines the call. It returns nil if
// the response does not say so, and an InDoubtError for a duplicate.
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
