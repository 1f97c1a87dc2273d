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

// Paths that faults never touch.
const (
	FaultsPath  = "/faults"  // GET reads the faults, POST replaces them
	HistoryPath = "/history" // GET reads what ran
)

// MaxBody bounds the body of one call to a stand-in, in bytes.
const MaxBody = 16 << 20

// processStart is the incarnation of servers that did not die yet.
var processStart = uint64(time.Now().UnixMilli())

const maxFaults = 64 << 10 // bytes of a faults document

type (
	// Faults is what is wrong with a stand-in. The zero value is a healthy
	// one.
	Faults struct {
		// Paths limits Refuse, Fail, Reset, LoseReply and Slow to these paths;
		// empty is all.
		Paths []string
		// Count limits Refuse, Fail, Reset, LoseReply, Slow and ResetAtToken
		// to this many calls; zero is all.
		Count int

		Pause         bool         // nothing moves, as if the process were frozen; calls are handled afterwards
		Dead          bool         // all connections are cut and what was held is lost
		Refuse        bool         // declines calls, truthfully
		RetryAfter    clock.Millis // that a refused call names; zero is none
		Fail          bool         // answers 500 without a word of what became of the call, which has no effect
		Reset         bool         // cuts the connection before the call has an effect
		LoseReply     bool         // cuts the connection after the call had its effect
		Slow          clock.Millis // before the call is handled, or until the faults are set again
		Slowdown      float64      // all work takes this many times as long; 0 is 1
		StallTransfer bool         // KV transfers stand still
		ResetAtToken  int          // cuts a token stream before this token; 0 does not
		Leaving       bool         // takes no new work and reports so
	}

	// Control sets the faults of one stand-in while it runs. The zero value
	// is a healthy stand-in's.
	Control struct {
		// OnSet is called, without locks held, whenever the faults changed.
		// Set it before the first call.
		OnSet func(Faults)

		mu      sync.Mutex
		faults  Faults
		hits    int
		deaths  uint64
		changed chan struct{}
	}

	// abortingWriter cuts the connection as soon as there is a reply.
	abortingWriter struct{ http.ResponseWriter }
)

// Set replaces the faults and begins to count anew.
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

// Faults returns the faults that are set.
func (ct *Control) Faults() Faults {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.faults
}

// Hits tells how many calls the faults with Paths and Count struck since they were set.
func (ct *Control) Hits() int {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.hits
}

// AwaitUnpaused waits while the stand-in is paused.
func (ct *Control) AwaitUnpaused(ctx context.Context) error {
	return ct.waitWhile(ctx, func(ft Faults) bool { return ft.Pause })
}

// AwaitUnstalled waits while transfers stall or the stand-in is paused.
func (ct *Control) AwaitUnstalled(ctx context.Context) error {
	return ct.waitWhile(ctx, func(ft Faults) bool { return ft.Pause || ft.StallTransfer })
}

// Slowed returns how long work of the given length takes now.
func (ct *Control) Slowed(dur time.Duration) time.Duration {
	if by := ct.Faults().Slowdown; by > 0 {
		return time.Duration(float64(dur) * by)
	}
	return dur
}

// TakeStreamCut tells whether a token stream is to be cut before the token with the
// given index, and counts it.
func (ct *Control) TakeStreamCut(index int) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.faults.ResetAtToken == 0 || index != ct.faults.ResetAtToken || !ct.hitsRemain() {
		return false
	}
	ct.hits++
	return true
}

// Wrap puts the faults before a handler and serves FaultsPath.
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

// Decline answers that the call did not begin. A span of zero names no time
// to try again.
func Decline(rw http.ResponseWriter, status int, reason backend.Reason, after clock.Millis) {
	rw.Header().Set(backend.DeclinedHeader, string(reason))
	if after > 0 {
		rw.Header().Set(backend.RetryAfterHeader, after.String())
	}
	rw.WriteHeader(status)
}

// WriteJSON answers with a JSON document.
func WriteJSON(rw http.ResponseWriter, doc any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(doc) // the caller may be gone
}

// ReadJSON reads a JSON document up to a bound in bytes.
func ReadJSON(req *http.Request, bound int64, doc any) error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, req.Body, bound))
	if err := dec.Decode(doc); err != nil {
		return fmt.Errorf("parse document: %w", backend.ErrBadCall)
	}
	return nil
}

// AbortConnection drops the connection of the call that is being handled.
func AbortConnection() { panic(http.ErrAbortHandler) }

// handleWithFaults handles a call as the faults say. A call that was received is handled
// even if its caller has gone meanwhile.
func (ct *Control) handleWithFaults(rw http.ResponseWriter, req *http.Request, next http.Handler) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, MaxBody))
	if err != nil {
		Decline(rw, http.StatusBadRequest, backend.BadOrder, 0)
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	_ = ct.AwaitUnpaused(context.Background()) // fails only if the context ends
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

// waitOrChange waits for a span or until the faults are changed.
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

// incarnation is that of the server which the stand-in plays: it starts with the
// process, and anew after each death.
func (ct *Control) incarnation() string {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return strconv.FormatUint(processStart+ct.deaths, 10)
}

// matchFaults tells the faults and whether those with Paths and Count strike a call.
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

// nextChange returns a channel that is closed when the faults are set again.
func (ct *Control) nextChange() <-chan struct{} {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.changed == nil {
		ct.changed = make(chan struct{})
	}
	return ct.changed
}

func (ct *Control) notifyWaiters() {
	if ct.changed != nil {
		close(ct.changed)
	}
	ct.changed = make(chan struct{})
}

// Sleep waits for a span or the end of the context.
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

// WriteHeader cuts the connection.
func (abortingWriter) WriteHeader(int) { AbortConnection() }

// Write cuts the connection.
func (abortingWriter) Write([]byte) (int, error) {
	AbortConnection()
	return 0, nil
}
