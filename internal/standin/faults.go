package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/pkg/clock"
)

// Paths that are served regardless of faults.
const (
	FaultsPath  = "/faults"  // GET returns the faults, POST replaces them
	HistoryPath = "/history" // GET returns the record of runs
)

// MaxBody is the maximum body size of a call to a stand-in, in bytes.
const MaxBody = 16 << 20

// processStart is the incarnation of servers that have not died yet.
var processStart = uint64(time.Now().UnixMilli())

const maxFaults = 64 << 10 // maximum size of a faults document, in bytes

type (
	// Faults describes the faults of a stand-in. The zero value is a healthy
	// stand-in.
	Faults struct {
		// Paths limits Refuse, Fail, Reset, LoseReply and Slow to these paths;
		// if empty, they apply to all paths.
		Paths []string
		// Count limits Refuse, Fail, Reset, LoseReply, Slow and ResetAtToken
		// to this many calls; zero means no limit.
		Count int

		Pause         bool         // suspends all work, as if the process were stopped; calls are handled afterwards
		Dead          bool         // closes all connections; work in progress is lost
		Refuse        bool         // declines calls without running them
		RetryAfter    clock.Millis // delay that a refusal suggests; zero suggests none
		Fail          bool         // answers status 500 without stating the outcome; the call has no effect
		Reset         bool         // closes the connection before the call takes effect
		LoseReply     bool         // closes the connection after the call took effect
		Slow          clock.Millis // delay before the call is handled; ends early if the faults are set again
		Slowdown      float64      // factor by which all work takes longer; zero means 1
		StallTransfer bool         // stalls KV transfers
		ResetAtToken  int          // closes a token stream before the token with this index; zero disables it
		Leaving       bool         // accepts no new work and reports that it is leaving
	}

	// Control holds the faults of one stand-in, which can be changed while it
	// runs. The zero value injects no faults.
	Control struct {
		// OnSet is called, without locks held, whenever the faults have been
		// set. It must be assigned before the first call.
		OnSet func(Faults)

		mu      sync.Mutex
		faults  Faults
		hits    int           // affected calls since the faults were set
		deaths  uint64        // how often Dead was set
		changed chan struct{} // closed when the faults are next set; nil until it is needed
	}

	// abortingWriter aborts the connection instead of sending a reply.
	abortingWriter struct{ http.ResponseWriter }
)

// Set replaces the faults and resets the count of affected calls.
func (ct *Control) Set(ft Faults) {
	ct.mu.Lock()
	if ft.Dead && !ct.faults.Dead {
		ct.deaths++
	}
	ct.faults, ct.hits = ft, 0
	ct.notifyWaiters()
	ct.mu.Unlock()
	if ct.OnSet != nil {
		ct.OnSet(ft)
	}
}

// Faults returns the current faults.
func (ct *Control) Faults() Faults {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.faults
}

// Hits returns how many calls were affected by the faults that Paths and Count
// limit since they were set.
func (ct *Control) Hits() int {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.hits
}

// AwaitUnpaused blocks while the stand-in is paused. It fails if the context ends.
func (ct *Control) AwaitUnpaused(ctx context.Context) error {
	return ct.waitWhile(ctx, func(ft Faults) bool { return ft.Pause })
}

// AwaitUnstalled blocks while transfers are stalled or the stand-in is paused.
// It fails if the context ends.
func (ct *Control) AwaitUnstalled(ctx context.Context) error {
	return ct.waitWhile(ctx, func(ft Faults) bool { return ft.Pause || ft.StallTransfer })
}

// Slowed returns how long work of the given duration takes under Slowdown.
func (ct *Control) Slowed(dur time.Duration) time.Duration {
	if by := ct.Faults().Slowdown; by > 0 {
		return time.Duration(float64(dur) * by)
	}
	return dur
}

// TakeStreamCut reports whether a token stream must be aborted before the
// token with the given index, and counts the call if so.
func (ct *Control) TakeStreamCut(index int) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.faults.ResetAtToken == 0 || index != ct.faults.ResetAtToken || !ct.hitsRemain() {
		return false
	}
	ct.hits++
	return true
}

// Wrap returns a handler that serves FaultsPath and passes all other calls to
// next. It injects the faults into all of these except those to HistoryPath.
func (ct *Control) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case FaultsPath:
			ct.serveFaults(rw, req)
		case HistoryPath:
			next.ServeHTTP(rw, req)
		default:
			ct.handleWithFaults(rw, req, next)
		}
	})
}

// Decline answers that the call was not started. A positive after is sent as
// the delay before a retry.
func Decline(rw http.ResponseWriter, status int, reason backend.Reason, after clock.Millis) {
	rw.Header().Set(backend.DeclinedHeader, string(reason))
	if after > 0 {
		rw.Header().Set(backend.RetryAfterHeader, after.String())
	}
	rw.WriteHeader(status)
}

// WriteJSON sends a JSON document as the response.
func WriteJSON(rw http.ResponseWriter, doc any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(doc) // fails if the caller has disconnected
}

// ReadJSON decodes the JSON body of a call into doc. It reads at most bound bytes.
func ReadJSON(req *http.Request, bound int64, doc any) error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, req.Body, bound))
	if err := dec.Decode(doc); err != nil {
		return fmt.Errorf("parse document: %w", backend.ErrBadCall)
	}
	return nil
}

// AbortConnection closes the connection of the call that is being handled.
func AbortConnection() { panic(http.ErrAbortHandler) }

// handleWithFaults applies the faults to a call and passes it to next. A call
// that was received is handled even if its caller has disconnected meanwhile.
func (ct *Control) handleWithFaults(rw http.ResponseWriter, req *http.Request, next http.Handler) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, MaxBody))
	if err != nil {
		Decline(rw, http.StatusBadRequest, backend.BadOrder, 0)
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	_ = ct.AwaitUnpaused(context.Background()) // fails only if the context ends, which this one never does
	ft, hit := ct.matchFaults(req.URL.Path)
	if ft.Dead {
		AbortConnection()
	}
	rw.Header().Set(backend.ServerIncarnationHeader, ct.incarnation())
	if !hit {
		next.ServeHTTP(rw, req)
		return
	}
	ct.waitOrChange(ft.Slow.Std())
	switch {
	case ft.Reset:
		AbortConnection()
	case ft.Fail:
		rw.WriteHeader(http.StatusInternalServerError)
	case ft.Refuse:
		Decline(rw, http.StatusServiceUnavailable, backend.Refused, ft.RetryAfter)
	case ft.LoseReply:
		next.ServeHTTP(abortingWriter{rw}, req)
		AbortConnection()
	default:
		next.ServeHTTP(rw, req)
	}
}

// waitOrChange waits for a duration or until the faults are set again.
func (ct *Control) waitOrChange(dur time.Duration) {
	if dur <= 0 {
		return
	}
	tm := time.NewTimer(dur)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ct.nextChange():
	}
}

// incarnation returns the incarnation of the simulated server. It is the start
// time of the process, incremented on each death.
func (ct *Control) incarnation() string {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return strconv.FormatUint(processStart+ct.deaths, 10)
}

// matchFaults returns the faults and reports whether those that Paths and Count
// limit apply to a call. It counts the call if they do.
func (ct *Control) matchFaults(path string) (Faults, bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ft := ct.faults
	some := ft.Refuse || ft.Fail || ft.Reset || ft.LoseReply || ft.Slow > 0
	if !some || !ct.hitsRemain() || len(ft.Paths) > 0 && !slices.Contains(ft.Paths, path) {
		return ft, false
	}
	ct.hits++
	return ft, true
}

func (ct *Control) hitsRemain() bool { return ct.faults.Count == 0 || ct.hits < ct.faults.Count }

func (ct *Control) serveFaults(rw http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodPost {
		var ft Faults
		if err := ReadJSON(req, maxFaults, &ft); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		ct.Set(ft)
	}
	WriteJSON(rw, ct.Faults())
}

// waitWhile blocks while the faults fulfil a condition. It fails if the context
// ends.
func (ct *Control) waitWhile(ctx context.Context, held func(Faults) bool) error {
	for {
		changed := ct.nextChange()
		if !held(ct.Faults()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the stand-in: %w", ctx.Err())
		case <-changed:
		}
	}
}

// nextChange returns a channel that is closed when the faults are next set.
func (ct *Control) nextChange() <-chan struct{} {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.changed == nil {
		ct.changed = make(chan struct{})
	}
	return ct.changed
}

// notifyWaiters wakes all that wait for a change. The caller holds the mutex.
func (ct *Control) notifyWaiters() {
	if ct.changed != nil {
		close(ct.changed)
	}
	ct.changed = make(chan struct{})
}

// Sleep waits for a duration. It fails if the context ends first.
func Sleep(ctx context.Context, dur time.Duration) error {
	if dur <= 0 {
		return nil
	}
	tm := time.NewTimer(dur)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("sleep: %w", ctx.Err())
	case <-tm.C:
		return nil
	}
}

// WriteHeader aborts the connection.
func (abortingWriter) WriteHeader(int) { AbortConnection() }

// Write aborts the connection.
func (abortingWriter) Write([]byte) (int, error) {
	AbortConnection()
	return 0, nil
}
