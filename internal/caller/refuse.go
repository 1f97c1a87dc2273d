package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Headers of this protocol.
const (
	headerClass    = "Alderdyke-Class"    // request: class by name
	headerDeadline = "Alderdyke-Deadline" // request: duration such as "2s"
	headerRefusal  = "Alderdyke-Refusal"  // response: reason; set on every refusal and on nothing else
	headerKey      = "Idempotency-Key"
	headerLastID   = "Last-Event-ID"
	ownPrefix      = "Alderdyke-"
)

// statusOf holds the HTTP status of each reason.
var statusOf = map[refusal.Reason]int{
	refusal.BadRequest:         http.StatusBadRequest,
	refusal.TooLarge:           http.StatusRequestEntityTooLarge,
	refusal.UnknownCustomer:    http.StatusUnauthorized,
	refusal.UnknownClass:       http.StatusBadRequest,
	refusal.UnknownService:     http.StatusNotFound,
	refusal.KeyReused:          http.StatusConflict,
	refusal.KeyInDoubt:         http.StatusConflict,
	refusal.HomeUnreachable:    http.StatusServiceUnavailable,
	refusal.SchedulerAway:      http.StatusServiceUnavailable,
	refusal.QuotaAway:          http.StatusServiceUnavailable,
	refusal.QueueFull:          http.StatusTooManyRequests,
	refusal.TargetUnreachable:  http.StatusTooManyRequests,
	refusal.ShareExceeded:      http.StatusTooManyRequests,
	refusal.NoBackend:          http.StatusServiceUnavailable,
	refusal.DeadlinePassed:     http.StatusGatewayTimeout,
	refusal.Draining:           http.StatusServiceUnavailable,
	refusal.Starting:           http.StatusServiceUnavailable,
	refusal.RetriesExhausted:   http.StatusServiceUnavailable,
	refusal.BackendFailed:      http.StatusBadGateway,
	refusal.CallerGone:         http.StatusGone,
	refusal.AnswerExpired:      http.StatusGone,
	refusal.VMLost:             http.StatusBadGateway,
	refusal.EndsServers:        http.StatusServiceUnavailable,
	refusal.TooManyConnections: http.StatusServiceUnavailable,
}

// errorBody is the JSON body of a refusal that has its own HTTP status.
type errorBody struct {
	Error refusal.Refusal `json:"error"`
}

// refusalOf returns the refusal that an error wraps. An error that wraps none leaves
// open whether the request ran.
func refusalOf(err error) refusal.Refusal {
	var rf refusal.Refusal
	if errors.As(err, &rf) {
		return rf
	}
	return refusal.Refusal{
		Ran: refusal.MayHaveRun, Reason: refusal.BackendFailed,
		Detail: "internal fault; ask again with the same key",
	}
}

// Status returns the HTTP status of a refusal.
func Status(rf refusal.Refusal) int {
	if code, ok := statusOf[rf.Reason]; ok {
		return code
	}
	return http.StatusInternalServerError
}

// refuse sends a refusal as the whole response.
func (srv *Server) refuse(wr http.ResponseWriter, class string, err error) {
	rf := refusalOf(err)
	srv.countRefusal(rf, class)
	code := Status(rf)
	var slow slowBodyError
	if errors.As(err, &slow) {
		code = http.StatusRequestTimeout
	}
	var noMemory noMemoryError
	short := errors.As(err, &noMemory)
	body, err := json.Marshal(errorBody{Error: rf})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	hd := wr.Header()
	hd.Set("Content-Type", "application/json")
	hd.Set("Cache-Control", "no-store")
	hd.Set(headerRefusal, string(rf.Reason))
	if code == http.StatusUnauthorized {
		hd.Set("WWW-Authenticate", `Bearer realm="alderdyke"`)
	}
	if rf.RetryAfter > 0 {
		hd.Set("Retry-After", strconv.FormatInt(wholeSeconds(rf.RetryAfter), 10))
	}
	if rf.Reason == refusal.TooLarge || code == http.StatusRequestTimeout || short {
		hd.Set("Connection", "close")
	}
	// net/http reads the rest of the body, before or after the response. The deadline
	// bounds that, too.
	until := time.Now().Add(srv.limits.BodyGrace.Std())
	if short {
		until = longPast // the refusal must not wait for the rest of a slow body
	}
	_ = http.NewResponseController(wr).SetReadDeadline(until)
	srv.writeWhole(wr, code, body)
}

// wholeSeconds rounds up to seconds.
func wholeSeconds(span clock.Millis) int64 {
	return int64((span + clock.Second - 1) / clock.Second)
}
