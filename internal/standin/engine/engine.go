// Package engine is a stand-in for a model engine, for tests, benchmarks and
// demonstrations.
//
// It serves the calls of package internal/engine as a prefill or a decode
// engine. It simulates a prefill queue with priorities, a prefix cache of
// limited memory, KV caches that expire after a short time, transfers that
// share a link of limited rate, a limited number of memory slots, token
// generation that slows down with the size of the batch, and load reports and
// cache events that lag. Its answers depend on the whole prompt, see
// [standin.Answer]. It uses package time, and thus virtual time inside a
// testing/synctest bubble.
//
// Work continues when the connection of the call that started it breaks:
// memory stays allocated until the run ends, expires or is cancelled.
// [Engine.History] records every run for checkers of invariants.
//
// # Usage
//
//	en := &engine.Engine{ID: "d1", Role: board.Decode, Settings: engine.Settings{Slots: 20}}
//	defer en.Close()
//	srv := httptest.NewServer(en.Handler())
//	en.Control.Set(standin.Faults{StallTransfer: true})
//	...
//	hist := en.History()
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	wire "alderdyke/internal/engine"
	"alderdyke/internal/sched"
	"alderdyke/internal/standin"
	"alderdyke/pkg/clock"
)

const maxTombstones = 1 << 16 // number of tombstones at which expired ones are removed

type (
	// Settings configures the speed and capacity of an engine. For a zero
	// field the value of DefaultSettings is used, unless its comment says
	// otherwise.
	Settings struct {
		PrefillTokensPerSecond float64
		PrefillQueue           int          // maximum number of waiting and running prefills
		KVRetention            clock.Millis // how long a KV cache is kept for its transfer
		KVBytesPerToken        int64
		LinkBytesPerSecond     float64      // rate in each direction, shared by all transfers
		Slots                  int          // memory slots of a decode engine, one per request
		TPOT                   clock.Millis // time per output token of a decode that is alone in its batch
		BatchSlowdown          float64      // fraction of TPOT added for each other decode; zero adds none
		VaryLength             bool         // answers have the length standin.Length
		// Length returns the length of the answer to a prompt, which is also
		// limited by MaxTokens of the decode order; if nil, VaryLength applies.
		Length          func(prompt string, bound int) int
		AnswerRetention clock.Millis // how long a finished answer can be resumed
		CancelRetention clock.Millis // how long orders of a cancelled request are declined
		CacheBlocks     int          // size of the prefix cache, in blocks of engine.BlockBytes
		CacheEventLag   clock.Millis // delay of cache events; zero means none
		CacheEventLoss  float64      // fraction of cache events that are lost; zero means none
		LoadLag         clock.Millis // age of load reports; zero means none
		ModelLoadTime   clock.Millis // time to load a model, adapter or version; zero means none
		ChecksFencing   bool         // declines fencing numbers lower than an earlier one
		Token           string       // bearer token that every call must have; empty accepts all
	}

	// Engine is a stand-in. Set the exported fields before the first call.
	Engine struct {
		ID       string
		Role     board.Role // initial role; an order can change it
		Settings Settings
		HTTP     *http.Client    // fetches KV caches; a default client if nil
		Control  standin.Control // faults
		Seed     uint64          // seed for choosing the cache events that are lost

		once       sync.Once
		started    time.Time
		ctx        context.Context
		stop       context.CancelFunc
		work       sync.WaitGroup
		prefills   lane // computes prefills
		egress     lane // sends KV caches
		ingress    lane // receives KV caches
		mu         sync.Mutex
		role       board.Role
		runs       map[runKey]*run
		seq        uint64               // number of runs so far
		cancelled  map[string]tombstone // by request
		cache      prefixCache
		loads      []loadSample
		linkBytes  int64             // bytes of current exports that have not passed the egress link yet
		orderState wire.OrderResult  // role, model, adapters and version that the orders have set
		fences     map[string]uint64 // highest accepted fencing number, by kind

		noRaiseFence atomic.Bool // set by DeclineRaiseFence
		history      History
	}

	runKey struct {
		request string
		attempt int
		role    board.Role
	}

	// run is the state of one attempt of one request. Its fields are guarded
	// by the engine's mutex.
	run struct {
		key        runKey
		seq        uint64
		quick      bool
		rec        *Run
		stage      sched.Stage
		stageSince time.Time
		ctx        context.Context
		cancel     context.CancelFunc
		done       chan struct{} // closed when the stage that a call waits for has ended
		slotSince  time.Time     // zero while it holds no memory slot
		kv         kvCache
		result     wire.PrefillResult
		failure    backend.Reason
		tokens     []string // output tokens from index kv.base on
		complete   bool
		changed    chan struct{}
	}

	// kvCache describes the KV cache of a prompt and of the output tokens that
	// earlier attempts generated.
	kvCache struct {
		name      string
		hash      uint64 // hash that the answer is derived from, see contextHash
		tokens    int    // number of prompt tokens
		base      int    // number of output tokens that earlier attempts generated
		length    int    // length of the answer if Settings.Length is set; zero otherwise
		bytes     int64
		expiresAt time.Time
		pins      int // number of transfers in progress
	}

	// tombstone records that a request was cancelled up to an attempt.
	tombstone struct {
		attempt   int
		expiresAt time.Time
	}

	loadSample struct {
		at  time.Time
		doc wire.LoadDoc
	}
)

// DefaultSettings returns the settings of an engine with twenty memory slots.
func DefaultSettings() Settings {
	return Settings{
		PrefillTokensPerSecond: 8000,
		PrefillQueue:           256,
		KVRetention:            800,
		KVBytesPerToken:        128 << 10,
		LinkBytesPerSecond:     4 << 30,
		Slots:                  20,
		TPOT:                   20,
		AnswerRetention:        10 * clock.Second,
		CancelRetention:        2 * clock.Minute,
		CacheBlocks:            4096,
	}
}

// Handler returns a handler that serves the engine's calls, its faults and its
// history.
func (en *Engine) Handler() http.Handler {
	en.initOnce()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PrefillPath, en.servePrefill)
	mux.HandleFunc("POST "+wire.ImportPath, en.serveImport)
	mux.HandleFunc("POST "+wire.DecodePath, en.serveDecode)
	mux.HandleFunc("GET "+wire.ResumePath, en.serveResume)
	mux.HandleFunc("POST "+wire.CancelPath, en.serveCancel)
	mux.HandleFunc("POST "+wire.OrderPath, en.serveOrder)
	mux.HandleFunc("GET "+wire.LoadPath, en.serveLoad)
	mux.HandleFunc("GET "+wire.RunningPath, en.serveRunning)
	mux.HandleFunc("GET "+wire.CacheEventsPath, en.serveCacheEvents)
	mux.HandleFunc("GET "+wire.KVPath, en.serveKV)
	mux.HandleFunc("GET "+standin.HistoryPath, func(rw http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(rw, en.History())
	})
	return en.Control.Wrap(en.requireToken(mux))
}

// Close aborts all work and waits until it has ended.
func (en *Engine) Close() {
	en.initOnce()
	en.mu.Lock()
	en.stop()
	en.mu.Unlock()
	en.work.Wait()
}

func (en *Engine) initOnce() {
	en.once.Do(func() {
		en.Settings = en.Settings.withDefaults()
		en.started = time.Now()
		en.ctx, en.stop = context.WithCancel(context.Background())
		en.role = en.Role
		en.runs = map[runKey]*run{}
		en.cancelled = map[string]tombstone{}
		en.fences = map[string]uint64{}
		en.cache = prefixCache{
			limit: en.Settings.CacheBlocks, lag: en.Settings.CacheEventLag.Std(),
			loss: en.Settings.CacheEventLoss, rng: rand.New(rand.NewPCG(en.Seed, 1)),
		}
		en.history = History{Server: en.ID, Started: en.started, Declined: map[backend.Reason]int{}}
		en.Control.OnSet = en.faultsChanged
		if en.HTTP == nil {
			en.HTTP = backend.NewHTTP(backend.Limits{})
		}
		en.sampleLoad()
	})
}

func (st Settings) withDefaults() Settings {
	df := DefaultSettings()
	setDefault(&st.PrefillTokensPerSecond, df.PrefillTokensPerSecond)
	setDefault(&st.PrefillQueue, df.PrefillQueue)
	setDefault(&st.KVRetention, df.KVRetention)
	setDefault(&st.KVBytesPerToken, df.KVBytesPerToken)
	setDefault(&st.LinkBytesPerSecond, df.LinkBytesPerSecond)
	setDefault(&st.Slots, df.Slots)
	setDefault(&st.TPOT, df.TPOT)
	setDefault(&st.AnswerRetention, df.AnswerRetention)
	setDefault(&st.CancelRetention, df.CancelRetention)
	setDefault(&st.CacheBlocks, df.CacheBlocks)
	return st
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (en *Engine) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		open := req.URL.Path == standin.HistoryPath || req.URL.Path == wire.KVPath
		if want := en.Settings.Token; want != "" && !open && req.Header.Get("Authorization") != "Bearer "+want {
			en.decline(rw, backend.Unauthorized, 0)
			return
		}
		next.ServeHTTP(rw, req)
	})
}

// decline answers that an order was not started, and counts it. The caller
// does not hold the mutex.
func (en *Engine) decline(rw http.ResponseWriter, reason backend.Reason, after clock.Millis) {
	en.mu.Lock()
	en.history.Declined[reason]++
	en.mu.Unlock()
	standin.Decline(rw, statusOf(reason), reason, after)
}

func statusOf(reason backend.Reason) int {
	switch reason {
	case backend.Unauthorized:
		return http.StatusUnauthorized
	case backend.BadOrder:
		return http.StatusBadRequest
	case backend.NoKV, backend.Unknown:
		return http.StatusNotFound
	case backend.Full, backend.Leaving, backend.Refused:
		return http.StatusServiceUnavailable
	default:
		return http.StatusConflict
	}
}

// declineReason returns why an order that starts work is declined, or "" if it
// is not. The caller holds the mutex.
func (en *Engine) declineReason(role board.Role, request string, attempt int) backend.Reason {
	switch {
	case en.ctx.Err() != nil:
		return backend.Refused
	case en.role != role:
		return backend.WrongRole
	case en.Control.Faults().Leaving:
		return backend.Leaving
	case en.isCancelled(request, attempt):
		return backend.Cancelled
	case en.runs[runKey{request, attempt, role}] != nil:
		return backend.Duplicate
	default:
		return ""
	}
}

// newRun adds a run and its record. The caller holds the mutex.
func (en *Engine) newRun(key runKey, customer string, quick bool, vm board.VMRef) *run {
	en.seq++
	rn := &run{key: key, seq: en.seq, quick: quick, done: make(chan struct{}), changed: make(chan struct{})}
	rn.ctx, rn.cancel = context.WithCancel(en.ctx)
	rn.rec = &Run{
		Request: key.request, Attempt: key.attempt, Role: key.role,
		Customer: customer, VM: vm, Quick: quick,
	}
	en.history.Runs = append(en.history.Runs, rn.rec)
	en.runs[key] = rn
	return rn
}

// setStage moves a run to a stage. The caller holds the mutex.
func (en *Engine) setStage(rn *run, stage sched.Stage) {
	rn.stage, rn.stageSince = stage, time.Now()
	rn.rec.Stages = append(rn.rec.Stages, StageTime{Stage: stage, At: en.now()})
	en.sampleLoad()
}

// endRun ends a run with an outcome, releases its resources and removes it. The
// caller holds the mutex.
func (en *Engine) endRun(rn *run, oc Outcome) {
	if en.runs[rn.key] != rn {
		return
	}
	en.recordOutcome(rn, oc)
	delete(en.runs, rn.key)
	rn.cancel()
	en.sampleLoad()
}

// recordOutcome records the outcome of a run and frees its memory slot, but
// keeps its answer. The caller holds the mutex.
func (en *Engine) recordOutcome(rn *run, oc Outcome) {
	if rn.rec.Outcome == "" {
		rn.rec.Outcome = oc
		rn.rec.EndedAt = en.now()
	}
	if !rn.slotSince.IsZero() {
		rn.rec.SlotTime += clock.Of(time.Since(rn.slotSince))
		rn.slotSince = time.Time{}
	}
	close(rn.changed)
	rn.changed = make(chan struct{})
	select {
	case <-rn.done:
	default:
		close(rn.done)
	}
}

// slotsHeld returns the number of memory slots in use. The caller holds the
// mutex.
func (en *Engine) slotsHeld() int {
	held := 0
	for _, rn := range en.runs {
		if !rn.slotSince.IsZero() {
			held++
		}
	}
	return held
}

// faultsChanged samples the load. If the engine has died, it first ends all runs as
// lost and discards the tombstones and the fencing numbers.
func (en *Engine) faultsChanged(ft standin.Faults) {
	en.initOnce()
	en.mu.Lock()
	defer en.mu.Unlock()
	if ft.Dead {
		for _, rn := range en.runs {
			en.endRun(rn, Lost)
		}
		clear(en.cancelled)
		clear(en.fences)
	}
	en.sampleLoad()
}

// abortIfLost closes the connection of the current call if the engine has died
// since it started the run, even if the engine is up again.
func (en *Engine) abortIfLost(rn *run) {
	en.mu.Lock()
	lost := rn.rec.Outcome == Lost
	en.mu.Unlock()
	if lost || en.Control.Faults().Dead {
		standin.AbortConnection()
	}
}

// runAfter calls fn after a delay, unless the run or the engine ends first.
func (en *Engine) runAfter(rn *run, dur time.Duration, fn func()) {
	en.work.Go(func() {
		if standin.Sleep(rn.ctx, dur) == nil {
			fn()
		}
	})
}

func (en *Engine) now() clock.Millis { return clock.Of(time.Since(en.started)) }

func (en *Engine) isCancelled(request string, attempt int) bool {
	tb, ok := en.cancelled[request]
	return ok && attempt <= tb.attempt && time.Now().Before(tb.expiresAt)
}

// vmOf returns the VM that sent a call.
func vmOf(req *http.Request) board.VMRef {
	inc, _ := strconv.ParseUint(req.Header.Get(wire.IncarnationHeader), 10, 64) // zero if the header is absent
	return board.VMRef{ID: req.Header.Get(wire.VMHeader), Incarnation: inc}
}
