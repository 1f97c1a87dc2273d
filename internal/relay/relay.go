// Package relay carries requests that are passed on as they came: to one
// backend server of a plain service, or to a prefill and a decode engine of a
// model service, and the answer back, byte for byte.
//
// It decides which backend server gets a request, when another attempt
// follows, when a request is refused and when its caller is to come back. The
// ways of speaking to callers and backend servers are given to it: [Servers]
// is the backend servers' side, and the caller's side hands a [Request] to
// [Relay.Serve].
//
// Each request ends in one whole answer, one truthful refusal, or a broken
// connection that no caller takes for a whole answer ([ErrCut]).
//
// # Usage
//
//	rl := &relay.Relay{Servers: servers, Rand: rng, Log: lg, Scope: scope}
//	rl.Configure(table)
//	rl.SetBackends(now, list)
//	err := rl.Serve(ctx, wr, req)
//	switch {
//	case errors.Is(err, relay.ErrCut): ... // break the connection
//	case errors.As(err, &rf): ...          // nothing was written; tell the refusal
//	}
package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/charge"
	"alderdyke/internal/event"
	"alderdyke/internal/poison"
	"alderdyke/internal/pool"
	"alderdyke/internal/retry"
	"alderdyke/internal/route"
	"alderdyke/internal/suspect"
	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// How a request ended, where it was not refused; else the reason says it.
const (
	outcomeAnswered = "Answered"
	outcomeCut      = "Cut"
)

// ErrCut tells that an answer began and can't be completed: the connection to
// the caller must break, so that nobody takes it for a whole one.
var ErrCut = errors.New("the answer was cut off")

type (
	// Request is a caller's request as it came.
	Request struct {
		ID     string // the caller's name for this attempt; unique
		Method string
		Host   string
		URI    string // path and query as they came
		Path   string // decoded, for the choice of a route
		Header http.Header
		Body   []byte
		// Content is what else belongs to what is asked, beside method, host, URI
		// and body, and is the same when a caller tries again.
		Content     string
		WaitLimit   clock.Millis // how long the caller waits from Arrived; zero if it did not say
		Arrived     clock.Millis // point
		LastEventID string       // ID of the last event that the caller has of a stream
		Prompt      *Prompt      // nil if the request does not describe a generation
		// KeyHash is the hash of the caller's API key; empty: there is none, for
		// which KeyFault is the reason.
		KeyHash  string
		KeyFault error
		// Keyed and Customer are told by the relay: whether callers have keys, which
		// are not passed on, and whose key this one is; empty: nobody's.
		Keyed    bool
		Customer string
	}

	// Prompt is the size of a generation.
	Prompt struct {
		Tokens    int // of the prompt
		MaxOutput int // that may be generated
		Hint      int // the caller's guess of how many will be; zero if there is none
	}

	// Handle names a computed prompt, or the memory of a run, at an engine.
	Handle struct {
		Server board.BackendServer
		ID     string
	}

	// Options of one attempt.
	Options struct {
		TimeLeft    clock.Millis // to the end of the answer
		Source      Handle       // memory to go on from; the zero value is none
		Reservation string       // empty: none
		LastEventID string       // ID of the last event that the answer already has
	}

	// Servers speaks to backend servers. Every call names the incarnation
	// that it means; another one at the same address declines it. Errors are
	// those of package backend, and a nil error is an answer to this request.
	Servers interface {
		// Send sends the request. The response's body is the caller's to
		// close.
		Send(ctx context.Context, bs board.BackendServer, req *Request, op Options) (*http.Response, error)
		// Prefill has the prompt computed, without running the request.
		Prefill(ctx context.Context, bs board.BackendServer, req *Request, left clock.Millis) (Handle, error)
		// Reserve takes a slot and memory for a request that follows within
		// the span.
		Reserve(ctx context.Context, bs board.BackendServer, tokens int, life clock.Millis) (string, error)
		// Release gives a reservation back that was not used.
		Release(ctx context.Context, bs board.BackendServer, reservation string) error
		// Forget frees the memory behind a handle.
		Forget(ctx context.Context, hd Handle) error
		// Move copies the memory of a run to another engine. With stop, the
		// run ends at the first one and its stream is cut, also where no copy
		// can be made; only backend.Unknown says that the run was over before.
		// A handle beside such an error names the memory that the first engine
		// keeps, with which the run can go on there.
		Move(ctx context.Context, from, to board.BackendServer, id string, stop bool) (Handle, error)
		// Load reads what a server told of itself with an answer.
		Load(rsp *http.Response) (balance.Load, bool)
		// Ended tells whether nobody listens at the server's address any more.
		// What does not answer in time may be there.
		Ended(ctx context.Context, bs board.BackendServer) bool
	}

	// Relay is the decisions of one VM. Set the exported fields before use.
	Relay struct {
		Servers  Servers
		Rand     *rand.Rand // must be set; guarded by the relay
		Clock    clock.Source
		Log      event.Logger
		Scope    tally.Scope
		Settings Settings
		// OtherVMs lists the VMs that live besides this one; whole tells whether
		// there may be no further ones. Nil, a fleet that is not whole, or
		// VMs that did not tell their usage lately make the relay reserve
		// more.
		OtherVMs func() (ids []string, whole bool)
		// Schedulers asks the VMs that choose engines for all of a large fleet;
		// nil: each VM chooses by itself.
		Schedulers Schedulers
		// MarkKey is what all VMs of the fleet know requests by again; nil, or empty:
		// a key of this VM's own, so that it knows them for itself alone.
		MarkKey func() []byte
		// Charger charges requests to their customers' quotas; nil: they have none.
		Charger Charger
		// AwaitNewerConfig waits a little for a configuration that is newer than a version, and
		// tells whether there is one; nil: there is none. It is asked on behalf of
		// callers whose keys are unknown, which may be many.
		AwaitNewerConfig func(ctx context.Context, version uint64) bool
		// SendServerEnd tells the other VMs at which server's end a request was there;
		// nil: they are not told.
		SendServerEnd func(en suspect.Crash)

		guard     poison.Guard // used through poisonGuard
		guardOnce sync.Once

		table        atomic.Pointer[route.Table]
		backends     atomic.Pointer[board.Backends]
		openRequests atomic.Int64
		cleanups     atomic.Int64 // calls under way that give something back to a server

		mu               sync.Mutex // guards all below and Rand
		initialized      bool
		chooser          *balance.Chooser
		budget           *retry.Policy
		fleet            fleetSize
		pools            map[string]*pool.Pool
		longestWait      map[string]clock.Millis // by route: longest time that a caller brought
		runs             map[*run]struct{}
		calls            map[*call]struct{}
		ledger           usage.Ledger
		synced           bool         // what the others have at the engines is known
		syncedUntil      clock.Millis // until when a scheduler goes by hears
		unknown          unknownKeys
		customers        map[string]struct{}     // that are counted by name
		noRoom           map[roomKey]noRoom      // sizes that found no room just now
		draining         map[string]clock.Millis // servers that said themselves that they leave, and when
		silentSchedulers map[string]clock.Millis // schedulers that did not answer, until when they are not asked
		stopping         bool                    // a planned stop began
		stopAt           clock.Millis            // when
		placeFreed       chan struct{}           // closed when a place may have become free

		usageChanged chan struct{} // holds a word when runs came or went
	}

	// exchange is one request on its way.
	exchange struct {
		req   *Request
		rt    route.Route
		svc   route.Service
		order *charge.Order // what the request takes of its customer's quota; nil: nothing
		// priority of the customer, or else of the route; the lowest goes first
		priority        int
		table           uint64         // version of the configuration that applies
		deadline        clock.Millis   // point at which the request ends, whatever happens
		possibleRuns    int            // backend servers that may have run it
		arrivals        arrivals       // at backend servers, and what was paid for them
		prompt          computedPrompt // that an engine keeps for the next decode
		tried           []string       // backend servers that were tried
		mark            *suspect.Mark  // nil until it is needed
		firstEventAfter clock.Millis   // from the request to its answer's first event; zero: none came
		lastEventAt     clock.Millis   // when the last event came
		longestPause    clock.Millis   // longest between two events
		lastEventID     string         // ID of the last event that the caller was sent
		eventsSent      int            // events that the caller was sent
	}
)

// recordEvents notes that events came, up to the one with the ID.
func (ex *exchange) recordEvents(now clock.Millis, events int, last string) {
	ex.eventsSent += events
	ex.lastEventID = last
	if ex.lastEventAt > 0 {
		ex.longestPause = max(ex.longestPause, now-ex.lastEventAt)
	}
	ex.lastEventAt = now
}

// Configure puts a configuration in force unless a newer one is, and tells
// whether it did.
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

// Table is the configuration in force; nil if none is known.
func (rl *Relay) Table() *route.Table { return rl.table.Load() }

// Backends is the backend servers as this VM knows them.
func (rl *Relay) Backends() *board.Backends {
	if bk := rl.backends.Load(); bk != nil {
		return bk
	}
	return &board.Backends{}
}

// OpenRequests is the number of requests in progress.
func (rl *Relay) OpenRequests() int { return int(rl.openRequests.Load()) }

// SetBackends takes the list of backend servers, sorted by ID.
func (rl *Relay) SetBackends(now clock.Millis, list []board.BackendServer) {
	rl.recordRestarts(rl.setBackends(now, list))
}

// setBackends returns how many calls ended because their servers started again.
func (rl *Relay) setBackends(now clock.Millis, list []board.BackendServer) (ended map[string]int) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.setBackendsLocked(now, list)
}

// setBackendsLocked is setBackends while the lock is held.
func (rl *Relay) setBackendsLocked(now clock.Millis, list []board.BackendServer) (ended map[string]int) {
	rl.initialize()
	list = rl.withDraining(now, list)
	rl.readmitChangedRoles(rl.Backends(), list)
	bk := rl.Backends().WithServers(list)
	rl.backends.Store(bk)
	// The fleet's size only divides shares of customers, which have none here.
	rl.chooser.Update(now, bk, 1)
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
	ended = rl.dropPreviousInstances(bk)
	rl.moveFromLeavingEngines(bk)
	return ended
}

// Serve carries a request to its end. A [refusal.Refusal] means that nothing
// was written; ErrCut that the connection must break.
func (rl *Relay) Serve(ctx context.Context, wr http.ResponseWriter, req *Request) error {
	rl.openRequests.Add(1)
	defer rl.openRequests.Add(-1)
	ex, err := rl.resolve(ctx, req)
	if err == nil {
		err = rl.execute(ctx, wr, ex)
		rl.refundArrivals(ex)
	}
	rl.recordEnd(ex, err)
	return err
}

// execute charges a request to its customer and carries it to its end.
func (rl *Relay) execute(ctx context.Context, wr http.ResponseWriter, ex *exchange) error {
	ctx, stop := clock.WithDeadline(ctx, clock.Or(rl.Clock), ex.deadline)
	defer stop()
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

// resolve finds the route of a request, its customer, its service and its end.
func (rl *Relay) resolve(ctx context.Context, req *Request) (*exchange, error) {
	tb := rl.table.Load()
	ex := &exchange{req: req, table: tb.Version()}
	if err := rl.admit(); err != nil {
		return ex, err
	}
	if tb == nil {
		return ex, refuse(refusal.Starting, rl.Settings.StartRetryAfter, "no configuration is known yet")
	}
	rt, ok := tb.Match(req.Host, req.Path)
	if !ok {
		return ex, refuse(refusal.UnknownService, 0, "no route matches the host and path")
	}
	if err := rl.admitLong(req, rt); err != nil {
		return ex, err
	}
	ex.priority = rt.Priority
	if err := rl.authenticate(tb, ex, rt); err != nil {
		if req.KeyHash != "" && rl.AwaitNewerConfig != nil && rl.AwaitNewerConfig(ctx, tb.Version()) {
			return rl.resolve(ctx, req) // is not asked again for long
		}
		return ex, err
	}
	rl.mu.Lock()
	rl.initialize()
	ex.rt = rt
	ex.svc = tb.Service(rt.Service(rl.Rand.Float64()))
	rl.budget.RecordRequest(rl.now(), "", ex.svc.Name)
	rl.mu.Unlock()
	ex.deadline = req.Arrived + rt.Timeout
	if req.WaitLimit > 0 && (rt.Timeout == 0 || req.WaitLimit < rt.Timeout) {
		ex.deadline = req.Arrived + req.WaitLimit
	}
	if rl.now() >= ex.deadline {
		return ex, refuse(refusal.DeadlinePassed, 0, "the time of the request is over")
	}
	return ex, nil
}

func refuse(why refusal.Reason, after clock.Millis, detail string) refusal.Refusal {
	return refusal.Refusal{Ran: refusal.NotRun, Reason: why, RetryAfter: after, Detail: detail}
}

func (rl *Relay) now() clock.Millis { return clock.Or(rl.Clock).Now() }

// timeLeft is what remains of the request's time.
func (rl *Relay) timeLeft(ex *exchange) clock.Millis { return max(0, ex.deadline-rl.now()) }

func (rl *Relay) initialize() {
	if rl.initialized {
		return
	}
	rl.initialized = true
	rl.Settings = rl.Settings.withDefaults()
	rl.chooser = &balance.Chooser{Rand: rl.Rand, Settings: balance.Settings{
		Failures: rl.Settings.Failures, BaseEjection: rl.Settings.Eject, SlowStart: rl.Settings.SlowStart}}
	rl.budget = &retry.Policy{Rand: rl.Rand, Settings: rl.Settings.Budget}
	rl.applyRetryShare()
	rl.pools = make(map[string]*pool.Pool)
	rl.longestWait = make(map[string]clock.Millis)
	rl.runs = make(map[*run]struct{})
	rl.calls = make(map[*call]struct{})
	rl.placeFreed = make(chan struct{})
	rl.usageChanged = make(chan struct{}, 1)
}

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

// recordEnd writes the end of a request to the log and the counters.
func (rl *Relay) recordEnd(ex *exchange, err error) {
	took := rl.now() - ex.req.Arrived
	fields := []event.Field{event.F("Request", ex.req.ID), event.F("Route", ex.rt.Name), event.F("Customer", ex.req.Customer),
		event.F("Configuration", ex.table), event.F("Took", took.String())}
	if ex.firstEventAfter > 0 {
		fields = append(fields, event.F("First", ex.firstEventAfter.String()), event.F("Objective", ex.rt.Objective.String()),
			event.F("Pause", ex.longestPause.String()),
			event.F("Events", ex.eventsSent), event.F("Last", ex.lastEventID))
	}
	outcome := outcomeAnswered
	if rf, ok := errors.AsType[refusal.Refusal](err); ok && !errors.Is(err, ErrCut) {
		outcome = string(rf.Reason)
		rl.Log.Log(event.RelayRefused, append(fields, event.F("Reason", rf.Reason), event.F("Ran", rf.Ran),
			event.F("RetryAfter", rf.RetryAfter.String()), event.F("Detail", rf.Detail))...)
	} else if err != nil {
		outcome = outcomeCut
		rl.Log.Log(event.RelayCut, append(fields, event.F("Error", err.Error()))...)
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

// count counts a decision by what decided it.
func (rl *Relay) count(name string, tags map[string]string) {
	if rl.Scope != nil {
		rl.Scope.Tagged(tags).Counter(name).Inc(1)
	}
}

// wrapCut wraps the cause of an answer that broke off.
func wrapCut(err error) error { return fmt.Errorf("%w: %w", ErrCut, err) }
