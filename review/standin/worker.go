package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// worker is one incarnation of a worker. It is a process of its own, so that its
	// connections end as those of a real process do.
	worker struct {
		id, service, phase string
		slots              int
		events             int           // of a stream
		gap                time.Duration // between two events
		work               time.Duration // for a request that is no stream
		noLength           bool          // its streams have no length and end with their connection
		lingers            time.Duration // from the signal to leave to the exit

		mu       sync.Mutex
		running  int
		holds    map[string]time.Time // until when each holds a slot
		handles  map[string]bool      // of prompts that were read
		lastID   int
		seq      int
		fence    uint64
		draining bool
		switched time.Time // when the last order is complete
		target   string    // phase that it ordered
	}
)

const (
	// holdLife is hold_ms of the deployment, handleLife its kv_ttl_s, and switchTime
	// its switch_s.
	holdLife   = 2 * time.Second
	handleLife = 500 * time.Millisecond
	switchTime = 6 * time.Second
)

// runWorker serves until the process ends, and returns its exit code.
func runWorker(args []string) int {
	wk := &worker{holds: make(map[string]time.Time), handles: make(map[string]bool)}
	fs := flag.NewFlagSet("worker", flag.ContinueOnError)
	address := fs.String("address", "", "where it listens")
	fs.StringVar(&wk.id, "id", "", "its id")
	fs.StringVar(&wk.service, "service", "", "its service")
	fs.StringVar(&wk.phase, "phase", "", "prefill or decode; empty: a plain service")
	fs.IntVar(&wk.slots, "slots", 6, "requests at a time")
	fs.IntVar(&wk.events, "events", 10, "events of a stream")
	fs.DurationVar(&wk.gap, "gap", 100*time.Millisecond, "time between two events")
	fs.DurationVar(&wk.work, "work", 15*time.Millisecond, "time for a request that is no stream")
	fs.BoolVar(&wk.noLength, "no-length", false, "streams have no length")
	fs.DurationVar(&wk.lingers, "lingers", 3500*time.Millisecond, "time from SIGUSR1 to the exit")
	if fs.Parse(args) != nil {
		return exitNotRun
	}
	ln, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	failed := make(chan error, 1)
	srv := &http.Server{Handler: wk}
	go func() { failed <- srv.Serve(ln) }()
	wk.say("listens")
	select {
	case err := <-failed:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case <-leave:
	}
	wk.mu.Lock()
	wk.draining = true
	wk.mu.Unlock()
	time.Sleep(wk.lingers)
	wk.say("exits")
	return 0 // the kernel closes what is open
}

// say prints one line for the record.
func (wk *worker) say(format string, args ...any) {
	fmt.Printf("worker %s %s\n", wk.id, fmt.Sprintf(format, args...))
}

// ServeHTTP answers a call.
func (wk *worker) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	if expect := req.Header.Get("Expect-Instance"); expect != "" && expect != wk.id {
		wk.misdirected(wr)
		return
	}
	switch {
	case req.URL.Path == "/healthz":
		wk.serveHealth(wr)
	case req.URL.Path == "/api/report":
		wk.serveReport(wr)
	case req.URL.Path == "/api/order":
		wk.serveOrder(wr, req)
	case req.URL.Path == "/api/hold-take":
		wk.serveHold(wr)
	case strings.HasPrefix(req.URL.Path, "/api/hold-drop/"):
		wk.mu.Lock()
		delete(wk.holds, strings.TrimPrefix(req.URL.Path, "/api/hold-drop/"))
		wk.mu.Unlock()
	case strings.HasPrefix(req.URL.Path, "/api/kv-handle/"):
		wk.mu.Lock()
		delete(wk.handles, strings.TrimPrefix(req.URL.Path, "/api/kv-handle/"))
		wk.mu.Unlock()
	case req.URL.Path == "/api/kv-move":
		wk.say("has no room elsewhere for a copy: 503")
		wr.WriteHeader(http.StatusServiceUnavailable)
	case req.URL.Path == "/standin/take":
		wk.serveTake(wr, req)
	default:
		wk.serveRequest(wr, req)
	}
}

func (wk *worker) misdirected(wr http.ResponseWriter) {
	wr.Header().Set("Instance-Id", wk.id)
	wr.WriteHeader(http.StatusMisdirectedRequest)
}

func (wk *worker) serveHealth(wr http.ResponseWriter) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wr.Header().Set("Instance-Id", wk.id)
	if wk.draining {
		wr.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (wk *worker) serveReport(wr http.ResponseWriter) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{"phase": wk.currentPhase(), "busy": wk.isBusy(), "seq": wk.seq, "waiting": 0, "running": wk.running,
		"kv_used": 0, "kv_total": 77047, "kv_handles": len(wk.handles)})
}

func (wk *worker) serveOrder(wr http.ResponseWriter, req *http.Request) {
	var in struct {
		Phase  string `json:"phase"`
		Fence  uint64 `json:"fence"`
		Expect *int   `json:"expect"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	wk.mu.Lock()
	defer wk.mu.Unlock()
	switch {
	case in.Fence < wk.fence:
		wr.WriteHeader(http.StatusPreconditionFailed)
	case wk.isBusy() || in.Expect != nil && *in.Expect != wk.seq:
		wr.WriteHeader(http.StatusConflict)
	case in.Phase == wk.currentPhase():
		wr.WriteHeader(http.StatusOK)
	default:
		wk.say("takes the order %s, fence %d", in.Phase, in.Fence)
		wk.fence, wk.target, wk.switched = in.Fence, in.Phase, time.Now().Add(switchTime)
		wk.seq++
		wr.WriteHeader(http.StatusAccepted)
	}
}

// isBusy reports whether an order is in progress. The lock is held.
func (wk *worker) isBusy() bool { return time.Now().Before(wk.switched) }

// currentPhase returns the phase, that of a completed order if there was one. The lock is
// held.
func (wk *worker) currentPhase() string {
	if wk.target != "" && !wk.isBusy() {
		wk.phase, wk.target = wk.target, ""
	}
	return wk.phase
}

// free returns the number of free slots. The lock is held.
func (wk *worker) free() int {
	for id, until := range wk.holds {
		if time.Now().After(until) {
			delete(wk.holds, id)
		}
	}
	return wk.slots - wk.running - len(wk.holds)
}

func (wk *worker) serveHold(wr http.ResponseWriter) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.free() <= 0 || wk.isBusy() || wk.currentPhase() != "decode" {
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wk.lastID++
	hold := fmt.Sprintf("h%s%d", wk.id, wk.lastID)
	wk.holds[hold] = time.Now().Add(holdLife)
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]string{"hold": hold})
}

// serveTake gives a prompt that was read here to another worker.
func (wk *worker) serveTake(wr http.ResponseWriter, req *http.Request) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	handle := req.URL.Query().Get("handle")
	if !wk.handles[handle] {
		wr.WriteHeader(http.StatusNotFound)
	}
	delete(wk.handles, handle)
}

func (wk *worker) servePrefill(wr http.ResponseWriter, id string) {
	time.Sleep(wk.work)
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.lastID++
	handle := fmt.Sprintf("k%s%d", wk.id, wk.lastID)
	wk.handles[handle] = true
	time.AfterFunc(handleLife, func() {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		delete(wk.handles, handle)
	})
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Attempt-Id", id)
	_ = json.NewEncoder(wr).Encode(map[string]any{"kv_handle": handle, "num_tokens": 100, "version": 1})
}

// fetched reports whether the memory that a request names could be fetched.
func fetched(ctx context.Context, source string) bool {
	if source == "" {
		return true
	}
	at, handle, _ := strings.Cut(source, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/standin/take?handle="+handle, nil)
	if err != nil {
		return false
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// admit takes a slot for a request, or returns the status with which it is rejected.
func (wk *worker) admit(req *http.Request) int {
	source := req.Header.Get("Kv-Source")
	if !fetched(req.Context(), source) {
		return http.StatusServiceUnavailable
	}
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.isBusy() {
		return http.StatusServiceUnavailable
	}
	hold := req.Header.Get("Kv-Hold")
	_, held := wk.holds[hold]
	if hold != "" {
		delete(wk.holds, hold)
	}
	if !held && wk.free() <= 0 {
		return http.StatusServiceUnavailable
	}
	wk.running++
	return 0
}

// serveRequest runs a client's request, or only reads its prompt.
func (wk *worker) serveRequest(wr http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Attempt-Id")
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	prefill := req.Header.Get("Phase") == "prefill"
	wk.mu.Lock()
	phase := wk.currentPhase()
	wk.mu.Unlock()
	if phase != "" && prefill != (phase == "prefill") {
		wk.misdirected(wr)
		return
	}
	if prefill {
		wk.servePrefill(wr, id)
		return
	}
	if status := wk.admit(req); status != 0 {
		wr.Header().Set("Not-Executed", "1")
		wr.WriteHeader(status)
		return
	}
	wk.say("runs %s: %s %s, %d bytes, Deadline-Ms %s", id, req.Method, req.RequestURI, len(body), req.Header.Get("Deadline-Ms"))
	defer func() {
		wk.mu.Lock()
		wk.running--
		wk.mu.Unlock()
	}()
	wr.Header().Set("Attempt-Id", id)
	wr.Header().Set("Server-Seal", "seal-"+wk.id+"-"+id)
	if req.Header.Get("Token-Count") != "" {
		wk.serveStream(wr, req, id)
		return
	}
	if err := wk.sleep(req, wk.work); err != nil {
		wk.say("stops %s: %v", id, err)
		return
	}
	_, _ = io.WriteString(wr, strings.Repeat("r", 800))
	wk.say("has answered %s", id)
}

var errOver = errors.New("its time is over")

// sleep works for a time, until the caller leaves or its time is over.
func (wk *worker) sleep(req *http.Request, span time.Duration) error {
	left, err := strconv.ParseInt(req.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		left = int64(time.Minute / time.Millisecond)
	}
	select {
	case <-time.After(span):
		return nil
	case <-time.After(time.Duration(left) * time.Millisecond):
		return errOver
	case <-req.Context().Done():
		return req.Context().Err()
	}
}

// serveStream sends the events of a stream, each when it is made.
func (wk *worker) serveStream(wr http.ResponseWriter, req *http.Request, id string) {
	wr.Header().Set("Content-Type", "text/event-stream")
	if wk.noLength {
		wr.Header().Set("Transfer-Encoding", "identity")
	}
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // left out: from the first
	for number := first + 1; number <= wk.events; number++ {
		if err := wk.sleep(req, wk.gap); err != nil {
			wk.say("stops %s before event %d: %v", id, number, err)
			return
		}
		_, _ = fmt.Fprintf(wr, "id: %d\ndata: token %d of %s\n\n", number, number, id)
		if http.NewResponseController(wr).Flush() != nil {
			wk.say("stops %s after event %d", id, number)
			return
		}
	}
	wk.say("has answered %s with %d events", id, wk.events)
}
