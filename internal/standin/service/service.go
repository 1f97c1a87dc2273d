// Package service is a stand-in for the server of a plain service, for tests,
// benchmarks and demonstrations.
//
// It answers every call, on any path, with [standin.Reply], after a
// configurable latency. The number of concurrent runs is limited. A repeated
// call runs again, so that the history shows how often each key ran. A run
// continues after the connection of its call breaks.
//
// # Usage
//
//	sv := &service.Server{ID: "k1", Settings: service.Settings{Latency: 5, Slots: 8}}
//	defer sv.Close()
//	srv := httptest.NewServer(sv.Handler())
//	...
//	runs := sv.History().RunsOf(key)
package service

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	wire "alderdyke/internal/service"
	"alderdyke/internal/standin"
	"alderdyke/pkg/clock"
)

type (
	// Settings configures the speed and capacity of a server. If Slots or
	// Queue is zero, the value of DefaultSettings is used.
	Settings struct {
		Latency clock.Millis // duration of one run
		Slots   int          // maximum number of concurrent runs
		Queue   int          // maximum number of calls that wait for a slot
		LoadLag clock.Millis // age of load reports
		Token   string       // bearer token that every call must have; empty accepts all
	}

	// Server is a stand-in. Set the exported fields before the first call.
	Server struct {
		ID       string
		Settings Settings
		Control  standin.Control // faults

		once     sync.Once
		started  time.Time
		ctx      context.Context
		cancel   context.CancelFunc
		slots    chan struct{}
		mu       sync.Mutex
		running  int
		queued   int
		runs     []*Run
		loads    []loadSample
		declined map[backend.Reason]int
	}

	// Run is the record of one run of a call.
	Run struct {
		Key      string
		Method   string
		Path     string
		BodyHash uint64
		VM       board.VMRef  // VM that sent the call
		At       clock.Millis // since the server started
		EndedAt  clock.Millis // zero while it runs
	}

	// History is the record of all calls of a server.
	History struct {
		Server   string
		Started  time.Time
		Now      clock.Millis // since the server started
		Runs     []Run
		Running  int
		Queued   int
		Declined map[backend.Reason]int
	}

	loadSample struct {
		at  time.Time
		doc wire.LoadDoc
	}
)

// DefaultSettings returns the settings of a server with eight slots.
func DefaultSettings() Settings { return Settings{Slots: 8, Queue: 64} }

// RunsOf returns the runs of a key.
func (hs History) RunsOf(key string) []Run {
	var out []Run
	for _, rec := range hs.Runs {
		if rec.Key == key {
			out = append(out, rec)
		}
	}
	return out
}

// Handler returns a handler that serves calls, the load report, the faults and
// the history.
func (sv *Server) Handler() http.Handler {
	sv.initOnce()
	return sv.Control.Wrap(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		switch {
		case req.URL.Path == standin.HistoryPath:
			standin.WriteJSON(rw, sv.History())
		case sv.Settings.Token != "" && req.Header.Get("Authorization") != "Bearer "+sv.Settings.Token:
			sv.decline(rw, http.StatusUnauthorized, backend.Unauthorized)
		case req.URL.Path == wire.LoadPath:
			standin.WriteJSON(rw, sv.loadReport())
		default:
			sv.serveCall(rw, req)
		}
	}))
}

// Close aborts all runs.
func (sv *Server) Close() {
	sv.initOnce()
	sv.cancel()
}

// History returns a copy of the record so far.
func (sv *Server) History() History {
	sv.initOnce()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	out := History{
		Server: sv.ID, Started: sv.started, Now: sv.now(), Running: sv.running, Queued: sv.queued,
		Declined: map[backend.Reason]int{},
	}
	for _, rec := range sv.runs {
		out.Runs = append(out.Runs, *rec)
	}
	for reason, count := range sv.declined {
		out.Declined[reason] = count
	}
	return out
}

func (sv *Server) initOnce() {
	sv.once.Do(func() {
		df := DefaultSettings()
		if sv.Settings.Slots == 0 {
			sv.Settings.Slots = df.Slots
		}
		if sv.Settings.Queue == 0 {
			sv.Settings.Queue = df.Queue
		}
		sv.started = time.Now()
		sv.ctx, sv.cancel = context.WithCancel(context.Background())
		sv.slots = make(chan struct{}, sv.Settings.Slots)
		sv.declined = map[backend.Reason]int{}
		sv.Control.OnSet = func(standin.Faults) {
			sv.mu.Lock()
			defer sv.mu.Unlock()
			sv.sampleLoad()
		}
		sv.sampleLoad()
	})
}

func (sv *Server) serveCall(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		sv.decline(rw, http.StatusBadRequest, backend.BadOrder)
		return
	}
	if sv.Control.Faults().Leaving {
		sv.decline(rw, http.StatusServiceUnavailable, backend.Leaving)
		return
	}
	if !sv.acquireSlot(req.Context()) {
		sv.decline(rw, http.StatusServiceUnavailable, backend.Full)
		return
	}
	defer func() { <-sv.slots }()
	text := standin.Reply(req.Method, req.URL.RequestURI(), body)
	rec := sv.recordStart(req, standin.Hash(string(body)))
	whole := sv.execute(rec)
	if !whole || sv.Control.Faults().Dead {
		standin.AbortConnection()
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(rw, text) // fails if the caller has disconnected
}

// acquireSlot waits for a slot. It returns false if the queue is full, or if
// the caller disconnects or the server is closed before a slot is free.
func (sv *Server) acquireSlot(ctx context.Context) bool {
	sv.mu.Lock()
	select {
	case sv.slots <- struct{}{}:
		sv.mu.Unlock()
		return true
	default:
	}
	if sv.queued >= sv.Settings.Queue {
		sv.mu.Unlock()
		return false
	}
	sv.queued++
	sv.sampleLoad()
	sv.mu.Unlock()
	ok := false
	select {
	case sv.slots <- struct{}{}:
		ok = true
	case <-ctx.Done():
	case <-sv.ctx.Done():
	}
	sv.mu.Lock()
	sv.queued--
	sv.sampleLoad()
	sv.mu.Unlock()
	return ok
}

func (sv *Server) recordStart(req *http.Request, hash uint64) *Run {
	inc, _ := strconv.ParseUint(req.Header.Get("Alderdyke-Incarnation"), 10, 64) // zero if the header is absent
	sv.mu.Lock()
	defer sv.mu.Unlock()
	rec := &Run{
		Key: req.Header.Get(wire.KeyHeader), Method: req.Method, Path: req.URL.RequestURI(), BodyHash: hash,
		VM: board.VMRef{ID: req.Header.Get("Alderdyke-VM"), Incarnation: inc}, At: sv.now(),
	}
	sv.runs = append(sv.runs, rec)
	sv.running++
	sv.sampleLoad()
	return rec
}

// execute simulates the work of a run, which continues if the caller
// disconnects. It returns false if the server is closed first.
func (sv *Server) execute(rec *Run) bool {
	err := standin.Sleep(sv.ctx, sv.Control.Slowed(sv.Settings.Latency.Std()))
	if err == nil {
		err = sv.Control.AwaitUnpaused(sv.ctx)
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.running--
	// Zero would mean that the call still runs.
	rec.EndedAt = max(1, sv.now())
	sv.sampleLoad()
	return err == nil
}

func (sv *Server) decline(rw http.ResponseWriter, status int, reason backend.Reason) {
	sv.mu.Lock()
	sv.declined[reason]++
	sv.mu.Unlock()
	standin.Decline(rw, status, reason, sv.Settings.Latency)
}

func (sv *Server) loadReport() wire.LoadDoc {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.sampleLoad()
	seen := sv.laggedLoad()
	seen.doc.Age = clock.Of(time.Since(seen.at))
	return seen.doc
}

// sampleLoad records the current load. The caller holds the mutex.
func (sv *Server) sampleLoad() {
	doc := wire.LoadDoc{
		Running: sv.running, Slots: sv.Settings.Slots, Queued: sv.queued, Leaving: sv.Control.Faults().Leaving,
	}
	sv.loads = append(sv.loads, loadSample{at: time.Now(), doc: doc})
	sv.laggedLoad()
}

// laggedLoad returns the load as it was LoadLag ago and discards older samples.
// The caller holds the mutex.
func (sv *Server) laggedLoad() loadSample {
	at := time.Now().Add(-sv.Settings.LoadLag.Std())
	next := slices.IndexFunc(sv.loads, func(sl loadSample) bool { return sl.at.After(at) })
	if next < 0 {
		next = len(sv.loads)
	}
	sv.loads = sv.loads[max(0, next-1):]
	return sv.loads[0]
}

func (sv *Server) now() clock.Millis { return clock.Of(time.Since(sv.started)) }
