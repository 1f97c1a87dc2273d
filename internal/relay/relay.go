// Package relay forwards requests unchanged, to one backend server of a plain service
// or to a prefill and a decode engine of a model service, and returns the answer byte
// for byte.
//
// It decides which backend server gets a request, when a retry follows, when a
// request is refused and when its caller may retry. The protocols to callers and
// backend servers are pluggable: [Servers] is the backend servers' side, and the
// caller's side passes a [Request] to [Relay.Serve].
//
// Each request ends in one complete answer, one refusal that states truthfully
// whether it ran, or a broken connection that no caller can take for a complete
// answer ([ErrCut]).
//
// # Usage
//
//	rl := &relay.Relay{Servers: servers, Rand: rng, Log: lg, Scope: scope}
//	rl.Configure(table)
//	rl.SetBackends(now, list)
//	err := rl.Serve(ctx, wr, req)
//	switch {
//	case errors.Is(err, relay.ErrCut): ... // break the connection
//	case errors.As(err, &rf): ...          // nothing was written; send the refusal
//	}
package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/charge"
	"alderdyke/internal/duration"
	"alderdyke/internal/event"
	"alderdyke/internal/inflight"
	"alderdyke/internal/limit"
	"alderdyke/internal/memory"
	"alderdyke/internal/origin"
	"alderdyke/internal/poison"
	"alderdyke/internal/pool"
	"alderdyke/internal/reach"
	"alderdyke/internal/retry"
	"alderdyke/internal/route"
	"alderdyke/internal/suspect"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Outcomes of a request that was not refused; the outcome of a refused one is its
// reason.
const (
	outcomeAnswered = "Answered"
	outcomeCut      = "Cut"
)

// ErrCut reports that an answer began and can't be completed: the connection to the
// caller must break, so that nobody takes it for a complete answer.
var ErrCut = errors.New("the answer was cut off")

type (
	// Request is a caller's request as it was received.
	Request struct {
		ID     string // the caller's ID of this attempt; unique
		Method string
		Host   string
		URI    string // path and query as received
		Path   string // decoded but for slashes, to match routes
		Header http.Header
		Body   []byte
		// Memory accounts Body and the answer; nil: there is no limit. If the request has
		// to yield before it may run, the context of Serve must end with the cause
		// memory.ErrRefused.
		Memory *memory.Holding
		// Content is any other part of the request's meaning, in addition to method,
		// host, URI and body. It is the same when a caller retries.
		Content     string
		WaitLimit   clock.Millis // how long the caller waits from Arrived; zero if unknown
		Arrived     clock.Millis // point in time
		LastEventID string       // ID of the last event of a stream that the caller has
		Resumes     string       // ID of the attempt that brought the first event of that stream; empty if unknown
		Prompt      *Prompt      // nil if the request is not a generation
		// KeyHash is the hash of the caller's API key; empty if there is none, and
		// then KeyFault is the reason.
		KeyHash  string
		KeyFault error
		// Keyed and Customer are set by the relay. Keyed reports whether callers have
		// API keys, which are not forwarded; Customer is the customer to whom the key
		// belongs, or empty if it belongs to none.
		Keyed    bool
		Customer string
		// Forwarded reports whether another VM forwarded the request.
		Forwarded bool
		// Bound is set if that VM has bound the request to a service and a version.
		Bound origin.Record
	}

	// Prompt describes the prompt of a generation and the size of its answer.
	Prompt struct {
		Tokens    int // of the prompt
		MaxOutput int // maximum number of output tokens
		Hint      int // the caller's estimate of the output tokens; zero if there is none
		// Model is the model that the caller asks for.
		Model string
		// SharedParts are the caller's names of the parts that the prompt shares with
		// other prompts, such as a system message, in their order.
		SharedParts []string
	}

	// Handle identifies a computed prompt, or the memory of a run, at an engine.
	Handle struct {
		Server board.BackendServer
		ID     string
	}

	// Options are the parameters of one attempt.
	Options struct {
		TimeLeft    clock.Millis // until the end of the answer
		Source      Handle       // memory to continue from; the zero value is none
		Reservation string       // empty: none
		LastEventID string       // ID of the last event that the caller already has
	}

	// Servers calls backend servers. Every call is addressed to an incarnation;
	// another incarnation at the same address declines it. Errors are those of
	// package backend, and a nil error means an answer to this request.
	Servers interface {
		// Send sends the request. The caller must close the response's body.
		Send(ctx context.Context, bs board.BackendServer, req *Request, op Options) (*http.Response, error)
		// Prefill has the prompt computed, without running the request.
		Prefill(ctx context.Context, bs board.BackendServer, req *Request, left clock.Millis) (Handle, error)
		// Reserve reserves a slot and memory for a request that follows within the
		// given time.
		Reserve(ctx context.Context, bs board.BackendServer, tokens int, life clock.Millis) (string, error)
		// Release frees a reservation that was not used.
		Release(ctx context.Context, bs board.BackendServer, reservation string) error
		// Forget frees the memory behind a handle.
		Forget(ctx context.Context, hd Handle) error
		// Move copies the memory of a run to another engine. With stop, the run ends
		// at the first engine and its stream is cut, even if no copy can be made;
		// only backend.Unknown means that the run had ended before. A handle returned
		// with another error identifies the memory that the first engine keeps, with
		// which the run can continue there.
		Move(ctx context.Context, from, to board.BackendServer, id string, stop bool) (Handle, error)
		// Load parses the load that a server reported with an answer.
		Load(rsp *http.Response) (balance.Load, bool)
		// Ended reports whether nothing listens at the server's address any more. A
		// server that does not answer in time may still be there.
		Ended(ctx context.Context, bs board.BackendServer) bool
		// Reaches reports whether a connection to the server can be established.
		Reaches(ctx context.Context, bs board.BackendServer) bool
	}

	// Relay makes the decisions of one VM. Set the exported fields before use.
	Relay struct {
		Servers  Servers
		Rand     *rand.Rand // must be set; guarded by the relay
		Clock    clock.Source
		Log      event.Logger
		Scope    tally.Scope
		Settings Settings
		// OtherVMs lists the living VMs besides this one; whole reports whether the
		// list is complete. If OtherVMs is nil, the list is incomplete, or some VMs
		// have not reported their usage recently, the relay reserves more.
		OtherVMs func() (ids []string, whole bool)
		// Schedulers queries the VMs that choose engines for the whole of a large
		// fleet; nil: each VM chooses by itself.
		Schedulers Schedulers
		// Allocators asks the schedulers for plain servers; nil: this VM chooses them by
		// itself.
		Allocators Allocators
		// Peers forwards requests while this VM is partitioned from their service; nil:
		// they are refused.
		Peers Peers
		// Origins knows the software versions at which streams began; nil: this VM alone
		// decides by the versions that were listed.
		Origins Origins
		// ListVersions reads from the store which software versions the servers of a
		// service have now; nil: they are those of the list.
		ListVersions func(ctx context.Context, service string) ([]string, error)
		// PreviewVersions is ListVersions for explanations, and uses up no limit of readings;
		// nil: explanations use ListVersions.
		PreviewVersions func(ctx context.Context, service string) ([]string, error)
		// IsListCurrent reports whether the list of servers is so recent that no server
		// can have come and gone since; nil: it always is.
		IsListCurrent func() bool
		// MarkKey returns the key with which all VMs of the fleet compute the marks
		// of requests; nil, or an empty key: a key of this VM's own, so that only
		// this VM recognizes its marks.
		MarkKey func() []byte
		// Charger charges requests to their customers' quotas; nil: there are no
		// quotas.
		Charger Charger
		// AwaitNewerConfig waits a short time for a configuration that is newer than
		// a version, and reports whether there is one; nil: there is none. It is
		// called for callers with unknown keys, of which there may be many.
		AwaitNewerConfig func(ctx context.Context, version uint64) bool
		// Permits grants calls to servers that limit them; nil: limits of servers are not
		// kept.
		Permits Permits
		// SendLimit sends the other VMs a notice of a server's limit; nil sends nothing.
		SendLimit func(nt limit.Notice)
		// LimitsKnown is closed when this VM has heard of the limits that were in force when it
		// started, and of the servers that left before, or need not wait for them any longer.
		// Until then requests wait. Nil: it is closed.
		LimitsKnown <-chan struct{}
		// SendReport sends the other VMs what this one reports about requests that
		// crash servers; nil sends nothing.
		SendReport func(re suspect.Report)

		limits    limit.Tracker
		guard     poison.Guard // access through poisonGuard
		guardOnce sync.Once

		table        atomic.Pointer[route.Table]
		backends     atomic.Pointer[board.Backends]
		openRequests atomic.Int64
		cleanups     atomic.Int64 // calls in progress that free something at a server

		mu               sync.Mutex // guards everything below and Rand
		initialized      bool
		chooser          *balance.Chooser
		budget           *retry.Policy
		fleet            fleetSize
		pools            map[string]*pool.Pool
		longestWait      map[string]clock.Millis // by route: longest wait limit of a caller
		firstWait        map[string]clock.Millis // by route: longest wait limit of the caller of a new stream
		runs             map[*run]struct{}
		calls            map[*call]struct{}
		ledger           usage.Ledger
		synced           bool         // the usage of the other VMs is known
		syncedUntil      clock.Millis // until when a scheduler relies on synced
		estimated        int          // VMs whose runs are estimated, as logged
		alive            aliveVMs
		unknown          unknownKeys
		customers        map[string]struct{}     // that have counters of their own
		versions         origin.History          // of the servers
		noRoom           map[roomKey]noRoom      // sizes for which there was no room recently
		draining         map[string]clock.Millis // servers that announced that they leave, and when
		unreadableLoads  map[string]struct{}     // listed servers whose load could not be read, as logged
		paths            reach.Tracker
		partitionBegan   chan struct{}                      // has an element when a partition began
		avoidedPeers     map[string]clock.Millis            // VMs that could not take a request, and until when they are not asked
		silentSchedulers map[string]clock.Millis            // schedulers that did not answer, and until when they are skipped
		stopping         bool                               // a planned stop has begun
		stopAt           clock.Millis                       // when
		open             map[uint64]context.CancelCauseFunc // ends the requests in progress
		lastOpen         uint64                             // key of the last one in open
		durations        duration.Tracker                   // of requests, by route
		placeFreed       chan struct{}                      // closed when a place may have become free
		plans            map[string]*plan                   // by service, at a scheduler
		rebalancers      map[string]*rebalancer             // by service, at a scheduler
		askedAt          clock.Millis                       // when another VM last asked for a place; zero: never
		foreseenUntil    clock.Millis                       // until when the schedulers are known to make forecasts
		promises         []promise                          // to callers that this VM refused
		allocations      allocations
		bodies           inflight.Tracker // bodies in flight to servers

		usageChanged chan struct{} // has an element when runs began or ended
	}

	// exchange is one request in progress.
	exchange struct {
		req   *Request
		rt    route.Route
		svc   route.Service
		order *charge.Order // what the request takes of its customer's quota; nil: nothing
		// priority of the customer, or otherwise of the route; the lowest goes first
		priority        int
		tableVersion    uint64                        // version of the configuration in force for it
		deadline        clock.Millis                  // when the request ends in any case
		version         string                        // of the servers that may run it; empty: any
		originKept      bool                          // the VMs were told the version of its stream
		allocated       allocated                     // where the next attempt goes
		possibleRuns    int                           // backend servers that may have run it
		arrivals        arrivals                      // at backend servers, and what was paid for them
		notReached      int                           // calls for which no connection was established
		pathLost        bool                          // the last call reached no server
		forwarded       bool                          // another VM took the request
		permits         map[string]charge.Permit      // by server; not used yet; guarded by the relay's lock
		claims          []string                      // servers with room for its body, where it was not sent yet; guarded by the relay's lock
		prompt          computedPrompt                // kept by an engine for the next decode
		hold            hold                          // while it waits for a place
		tried           []string                      // backend servers that were tried
		marks           atomic.Pointer[suspect.Marks] // nil until first used
		firstEventAfter clock.Millis                  // from the request to the first event of its answer; zero: none came
		lastEventAt     clock.Millis                  // when the last event came
		longestPause    clock.Millis                  // longest between two events
		lastEventID     string                        // ID of the last event sent to the caller
		eventsSent      int                           // number of events sent to the caller
	}
)

// recordEvents records that events came, and the ID of the last one.
func (ex *exchange) recordEvents(now clock.Millis, events int, last string) {
	ex.eventsSent += events
	ex.lastEventID = last
	if ex.lastEventAt > 0 {
		ex.longestPause = max(ex.longestPause, now-ex.lastEventAt)
	}
	ex.lastEventAt = now
}

// Configure puts a configuration in force unless the current one is the same or
// newer, and reports whether it did.
func (rl *Relay) Configure(tb *route.Table) bool {
	for {
		old := rl.table.Load()
		if old.Version() >= tb.Version() {
			return false
		}
		if rl.table.CompareAndSwap(old, tb) {
			return true
		}
	}
}

// Table returns the configuration in force, or nil if none is known.
func (rl *Relay) Table() *route.Table { return rl.table.Load() }

// Backends returns the backend servers known to this VM.
func (rl *Relay) Backends() *board.Backends {
	if bk := rl.backends.Load(); bk != nil {
		return bk
	}
	return &board.Backends{}
}

// OpenRequests returns the number of requests in progress.
func (rl *Relay) OpenRequests() int { return int(rl.openRequests.Load()) }

// SetBackends replaces the list of backend servers, which must be sorted by ID.
func (rl *Relay) SetBackends(now clock.Millis, list []board.BackendServer) {
	rl.recordRestarts(rl.setBackends(now, list))
}

// setBackends returns how many calls ended because their servers restarted.
func (rl *Relay) setBackends(now clock.Millis, list []board.BackendServer) (ended map[string]int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.setBackendsLocked(now, list)
}

// setBackendsLocked is setBackends with the lock held.
func (rl *Relay) setBackendsLocked(now clock.Millis, list []board.BackendServer) (ended map[string]int) {
	rl.initialize()
	list = rl.withDraining(now, list)
	rl.readmitChangedRoles(rl.Backends(), list)
	bk := rl.Backends().WithServers(list)
	rl.backends.Store(bk)
	rl.versions = rl.versions.WithServers(now, list)
	isListed := func(id string) bool {
		_, listed := bk.Server(id)
		return listed
	}
	rl.limits.Retain(isListed)
	rl.ledger.RetainEngines(isListed)
	maps.DeleteFunc(rl.unreadableLoads, func(id string, _ struct{}) bool { return !isListed(id) })
	// The chooser uses the fleet size only to divide shares of customers, and there
	// are none here.
	rl.chooser.Update(now, bk, 1)
	rl.updateAllocator(now, list)
	byService := make(map[string][]board.BackendServer)
	for _, bs := range list {
		if bs.Role != board.Plain {
			byService[bs.Service] = append(byService[bs.Service], bs)
		}
	}
	for name, po := range rl.pools {
		po.Update(byService[name])
	}
	for name, servers := range byService {
		if rl.pools[name] == nil {
			rl.poolOf(name).Update(servers)
		}
	}
	rl.wakeWaiters()
	ended = rl.cancelCallsToRestarted(bk)
	rl.moveFromLeavingEngines(bk)
	return ended
}

// Serve serves a request to its end. A [refusal.Refusal] means that nothing was
// written; ErrCut means that the connection must break.
func (rl *Relay) Serve(ctx context.Context, wr http.ResponseWriter, req *Request) error {
	rl.openRequests.Add(1)
	defer rl.openRequests.Add(-1)
	ex, err := rl.resolve(ctx, req)
	if err == nil {
		var end context.CancelFunc
		ctx, end = rl.untilExit(ctx)
		defer end()
		ended := rl.trackDuration(ex.rt)
		err = rl.serve(ctx, wr, ex)
		ended(err)
		rl.refundArrivals(ex)
		rl.returnPermits(ex)
		rl.returnClaims(ex)
	}
	err = refusedForMemory(ctx, err)
	rl.recordEnd(ex, err)
	return err
}

// refusedForMemory returns the refusal of a request whose context ended because it had to
// yield its memory before it was sent to a server.
func refusedForMemory(ctx context.Context, err error) error {
	rf, ok := errors.AsType[refusal.Refusal](err)
	if !ok || rf.Ran != refusal.NotRun || !errors.Is(context.Cause(ctx), memory.ErrRefused) {
		return err
	}
	return memoryRefusal()
}

func memoryRefusal() refusal.Refusal {
	return refuse(refusal.QueueFull, memory.RetryAfter, memory.ErrRefused.Error())
}

// execute charges a request to its customer and serves it to its end.
func (rl *Relay) execute(ctx context.Context, wr http.ResponseWriter, ex *exchange) error {
	ctx, stop := clock.WithDeadline(ctx, clock.OrBoottime(rl.Clock), ex.deadline)
	defer stop()
	rl.awaitOthers(ctx)
	if err := rl.resolveOrigin(ctx, ex); err != nil {
		return err
	}
	if err := rl.charge(ctx, ex); err != nil {
		return err
	}
	var err error
	if ex.svc.Engines != nil && ex.req.Prompt != nil {
		err = rl.serveGeneration(ctx, wr, ex)
	} else {
		err = rl.servePlain(ctx, wr, ex)
	}
	if err == nil {
		rl.recordSuccess(ex)
	}
	rl.refundQuota(ex, err)
	return err
}

// routeOf returns the route of a request, or refuses it.
func (rl *Relay) routeOf(tb *route.Table, req *Request) (route.Route, error) {
	if err := rl.admit(); err != nil {
		return route.Route{}, err
	}
	if tb == nil {
		return route.Route{}, refuse(refusal.Starting, rl.Settings.StartRetryAfter, "no configuration is known yet")
	}
	rt, ok := tb.Match(req.Host, req.Path)
	if !ok {
		return route.Route{}, refuse(refusal.UnknownService, 0, "no route matches the host and path")
	}
	return rt, rl.admitForRest(req, rt)
}

// resolve finds the route of a request, its customer, its service and its deadline.
func (rl *Relay) resolve(ctx context.Context, req *Request) (*exchange, error) {
	tb := rl.table.Load()
	ex := &exchange{req: req, tableVersion: tb.Version()}
	rt, err := rl.routeOf(tb, req)
	if err != nil {
		return ex, err
	}
	ex.priority = rt.Priority
	if err := rl.authenticate(tb, ex, rt); err != nil {
		if req.KeyHash != "" && rl.AwaitNewerConfig != nil && rl.AwaitNewerConfig(ctx, tb.Version()) {
			return rl.resolve(ctx, req) // does not wait for long: each call needs a newer configuration
		}
		return ex, err
	}
	rl.mu.Lock()
	rl.initialize()
	ex.rt = rt
	ex.svc = tb.Service(rt.PickService(rl.Rand.Float64()))
	if !rl.paths.IsPartitioned(ex.svc.Name) {
		rl.budget.RecordRequest(rl.now(), "", ex.svc.Name) // a forwarded request counts at the other VM
	}
	rl.mu.Unlock()
	ex.deadline = req.deadline(rt)
	if rl.now() >= ex.deadline {
		return ex, refuse(refusal.DeadlinePassed, 0, "the time of the request is over")
	}
	return ex, nil
}

// deadline returns when the request ends in any case: by its route, or by its caller.
func (req *Request) deadline(rt route.Route) clock.Millis {
	if req.WaitLimit > 0 && (rt.Timeout == 0 || req.WaitLimit < rt.Timeout) {
		return req.Arrived + req.WaitLimit
	}
	return req.Arrived + rt.Timeout
}

func refuse(why refusal.Reason, after clock.Millis, detail string) refusal.Refusal {
	return refusal.Refusal{Ran: refusal.NotRun, Reason: why, RetryAfter: after, Detail: detail}
}

func (rl *Relay) now() clock.Millis { return clock.OrBoottime(rl.Clock).Now() }

// timeLeft returns the time until the request's deadline.
func (rl *Relay) timeLeft(ex *exchange) clock.Millis { return max(0, ex.deadline-rl.now()) }

// initialize applies the default settings and creates the maps and channels, on the
// first call only. The lock is held.
func (rl *Relay) initialize() {
	if rl.initialized {
		return
	}
	rl.initialized = true
	rl.Settings = rl.Settings.withDefaults()
	rl.open = make(map[uint64]context.CancelCauseFunc)
	rl.chooser = &balance.Chooser{Rand: rl.Rand, Settings: balance.Settings{
		Failures: rl.Settings.Failures, BaseEjection: rl.Settings.Eject, SlowStart: rl.Settings.SlowStart}}
	rl.budget = &retry.Policy{Rand: rl.Rand, Settings: rl.Settings.Budget}
	rl.applyRetryShare()
	rl.allocations.allocator.Rand, rl.allocations.allocator.SlowStart = rl.Rand, rl.Settings.SlowStart
	rl.pools = make(map[string]*pool.Pool)
	rl.longestWait = make(map[string]clock.Millis)
	rl.firstWait = make(map[string]clock.Millis)
	rl.runs = make(map[*run]struct{})
	rl.calls = make(map[*call]struct{})
	rl.placeFreed = make(chan struct{})
	rl.usageChanged = make(chan struct{}, 1)
	rl.partitionBegan = make(chan struct{}, 1)
	rl.avoidedPeers = make(map[string]clock.Millis)
}

// poolOf returns the engines of a service; an empty pool is created if there is none.
// The lock is held.
func (rl *Relay) poolOf(service string) *pool.Pool {
	po := rl.pools[service]
	if po == nil {
		po = &pool.Pool{Rand: rl.Rand}
		rl.pools[service] = po
	}
	return po
}

// wakeWaiters wakes the requests that wait for a place. The lock is held.
func (rl *Relay) wakeWaiters() {
	close(rl.placeFreed)
	rl.placeFreed = make(chan struct{})
}

// recordEnd records the end of a request in the log and the counters.
func (rl *Relay) recordEnd(ex *exchange, err error) {
	took := rl.now() - ex.req.Arrived
	fields := []event.Field{event.F("Request", ex.req.ID), event.F("Route", ex.rt.Name), event.F("Customer", ex.req.Customer),
		event.F("Configuration", ex.tableVersion), event.F("Took", took.String())}
	if ex.firstEventAfter > 0 {
		fields = append(fields, event.F("First", ex.firstEventAfter.String()), event.F("Objective", ex.rt.Objective.String()),
			event.F("Pause", ex.longestPause.String()),
			event.F("Events", ex.eventsSent), event.F("Last", ex.lastEventID))
	}
	outcome := outcomeAnswered
	if rf, ok := errors.AsType[refusal.Refusal](err); ok && !errors.Is(err, ErrCut) {
		outcome = string(rf.Reason)
		rl.Log.Log(event.RelayRefused, append(fields, event.F("Reason", rf.Reason), event.F("Ran", rf.Ran),
			event.F("RetryAfter", rf.RetryAfter.String()), event.F("NotReached", ex.notReached), event.F("Detail", rf.Detail))...)
	} else if err != nil {
		outcome = outcomeCut
		rl.Log.Log(event.RelayCut, append(fields, event.F("Error", err.Error()))...)
	} else if ex.forwarded {
		outcome = outcomeForwarded
	} else {
		rl.Log.Log(event.RelayAnswered, fields...)
	}
	if rl.Scope != nil {
		tags := map[string]string{"Kind": string(ex.rt.Kind), "Outcome": outcome}
		sc := rl.Scope.Tagged(tags)
		sc.Counter("Requests").Inc(1)
		sc.Histogram("Took", latencies).RecordDuration(took.Std())
	}
	rl.countCustomer(ex, outcome)
}

// count increments a counter with the given tags.
func (rl *Relay) count(name string, tags map[string]string) {
	if rl.Scope != nil {
		rl.Scope.Tagged(tags).Counter(name).Inc(1)
	}
}

// wrapCut wraps the cause of an answer that was cut.
func wrapCut(err error) error { return fmt.Errorf("%w: %w", ErrCut, err) }
