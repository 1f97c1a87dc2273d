// Package entry implements one entry VM: it handles the life cycle of each request and
// connects the decision packages with the adapters that execute their intents.
//
// Callers, operators and other VMs connect through their adapters. Each decision
// package runs in one goroutine and never does I/O; its intents are executed here.
// The state that the VM knows is on a board.Board, whose snapshots each have one
// writer: membership writes the fleet, the reader of the VM list writes the backend
// servers, and the follower of the log writes the templates.
//
// # Terms
//
// The runner of a request is the VM that runs it. Other VMs that receive the same
// request follow the runner: they forward its answer. The seats of a key are the VMs
// that store the claims on it, each in its book. A VM claims the key there before it
// runs the request; an idempotent request runs without a claim if the seats can't be
// reached. A cell is a group of model engines, and its scheduler is the VM that grants
// their slots; a runner holds a reservation there. An orphan is a granted request whose
// stream from its runner was lost. A stray is a request that an engine runs for a lost
// VM.
// # Usage
//
//	vm := &entry.VM{Settings: set, Incarnation: uint64(time.Now().UnixMilli()), Log: logger}
//	err := vm.Run(ctx) // until ctx ends and the planned stop is complete
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"alderdyke/internal/actor"
	"alderdyke/internal/backend"
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/caller"
	"alderdyke/internal/claim"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/internal/ingress"
	"alderdyke/internal/logsvc"
	"alderdyke/internal/membership"
	"alderdyke/internal/memory"
	"alderdyke/internal/metrics"
	"alderdyke/internal/operator"
	"alderdyke/internal/peer"
	"alderdyke/internal/poison"
	"alderdyke/internal/register"
	"alderdyke/internal/retry"
	"alderdyke/internal/sched"
	"alderdyke/internal/service"
	"alderdyke/internal/settings"
	"alderdyke/internal/vmlist"
	"alderdyke/pkg/clock"
)

type (
	// VM is one entry VM. Set the exported fields before Run; Settings and
	// Incarnation are required.
	VM struct {
		Settings    settings.Settings
		Incarnation uint64 // higher than at any earlier start under the same ID
		Clock       clock.Source
		Log         event.Logger
		Scope       tally.Scope

		// Board holds the state that this VM knows. Run creates it if it is nil.
		Board *board.Board

		// Self identifies this VM in its current incarnation. Run sets it.
		Self board.VMRef

		// Peers, Engines, Services, Logs and List are the adapters. Run creates
		// them from the settings.
		Peers    *peer.Transport
		Engines  *engine.Client
		Services *service.Client
		Logs     logsvc.Log
		List     *vmlist.Client

		// Metrics serves the metrics page; if nil, there is none.
		Metrics http.Handler

		callers   *caller.Server
		startedAt clock.Millis

		// runCtx ends when the last request has ended.
		runCtx        context.Context
		stopRuns      context.CancelFunc
		wg            sync.WaitGroup
		draining      atomic.Bool
		stopRequested chan struct{}
		stopOnce      sync.Once

		runs         runs
		answerSizes  answerSizes
		traces       traces
		janitor      janitor
		decodes      decodeList
		scheduler    scheduler
		fallback     fallbackPlacer
		chooser      chooser
		retries      retries
		poison       poison.Guard
		incarnations backend.Incarnations

		members          *actor.Actor[membership.Event, membership.Intent]
		templateFollower *logFollower
		leaseFollower    *logFollower
		book             *actor.Actor[claim.Event, claim.Intent] // claims that this VM stores as a seat

		bookState     *claim.Book      // owned by the loop of book once it runs
		restoredSeats *claim.SeatTable // loaded from a peer before the book started
		claimSeed     atomic.Uint64
		leaseSeed     atomic.Uint64
		nextCell      atomic.Uint64            // distributes requests without a prefix over the cells
		cells         atomic.Pointer[cellList] // cached list
		loopCtx       context.Context          // ends after the last request

		backendsMu sync.Mutex // serializes the writers of the board's backend servers

		quorateUntil atomic.Int64                    // time in clock.Millis until which this VM is quorate
		seats        atomic.Pointer[claim.SeatTable] // seat table in force; nil until it is known
		refuted      signal                          // other VMs considered this VM dead, but it still runs
		fleetChanged signal                          // the fleet or the seats changed
		runEnded     signal
		replies      pending[*claimReply]
		verdicts     verdicts
	}

	chooser struct {
		mu sync.Mutex
		*balance.Chooser
	}

	retries struct {
		mu sync.Mutex
		*retry.Policy
		count metrics.Retries
	}
)

var errNoIncarnation = errors.New("the VM has no incarnation")

// Run serves until the context ends, and then performs a planned stop: it accepts no new
// requests, redirects callers to other VMs for as long as they may keep its address, and
// returns when the last request in progress has ended.
func (vm *VM) Run(ctx context.Context) error {
	if err := vm.init(); err != nil {
		return fmt.Errorf("start the VM: %w", err)
	}
	core, stopCore := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCore()
	vm.runCtx, vm.stopRuns = context.WithCancel(core)
	defer vm.stopRuns()

	gr, grCtx := errgroup.WithContext(core)
	gr.Go(func() error { return vm.Peers.Run(grCtx) })
	select {
	case <-vm.Peers.Ready():
	case <-grCtx.Done():
		return gr.Wait()
	}
	vm.loopCtx = core
	vm.startLoops(core)
	callCtx, stopCallers := context.WithCancel(core)
	defer stopCallers()
	gr.Go(func() error { return vm.serveOperators(grCtx) })
	callersDone := make(chan error, 1)
	go func() { callersDone <- vm.callers.Run(callCtx) }()
	vm.Log.Log(event.Started, event.F("Caller", vm.Settings.Caller.Listen.String()),
		event.F("FailureDomain", vm.Settings.FailureDomain))

	err := vm.waitForStop(ctx, grCtx, callersDone)
	if err == nil {
		err = vm.stop(stopCallers, callersDone)
	}
	stopCore()
	err = errors.Join(err, gr.Wait())
	vm.wg.Wait()
	vm.janitor.wg.Wait()
	vm.Log.Log(event.Stopped)
	return err
}

// waitForStop waits until a planned stop is requested or a part of the VM has failed. It
// returns the error of the part.
func (vm *VM) waitForStop(ctx, failed context.Context, callersDone <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-vm.stopRequested:
		return nil
	case <-failed.Done():
		return context.Cause(failed)
	case err := <-callersDone:
		return fmt.Errorf("serve callers: %w", err)
	}
}

// beginStop begins the planned stop. Further calls have no effect.
func (vm *VM) beginStop() {
	vm.stopOnce.Do(func() { close(vm.stopRequested) })
}

// stop performs the planned stop.
func (vm *VM) stop(stopCallers context.CancelFunc, callersDone <-chan error) error {
	vm.Log.Log(event.Stopping, event.F("InProgress", vm.runs.inProgress()))
	vm.draining.Store(true)
	vm.members.Send(vm.runCtx, membership.Leave{})
	stopCallers()
	err := <-callersDone
	vm.awaitRuns()
	vm.members.Send(vm.runCtx, membership.Leave{Final: true})
	clock.Sleep(vm.runCtx, leaveGossipWait)
	if err != nil {
		return fmt.Errorf("stop serving callers: %w", err)
	}
	return nil
}

// awaitRuns waits until no run is in progress, including followed ones.
func (vm *VM) awaitRuns() {
	for {
		ended := vm.runEnded.wait()
		left := vm.runs.inProgress()
		if left == 0 {
			return
		}
		select {
		case <-ended:
		case <-time.After(vm.Settings.Drain.WarnEvery.Std()):
			vm.Log.Log(event.StopLasts, event.F("InProgress", left))
		}
	}
}

// leaveGossipWait is the time in which the other VMs learn that this VM has left.
const leaveGossipWait = 600 * clock.Millis(1)

func (vm *VM) init() error {
	if vm.Incarnation == 0 {
		return errNoIncarnation
	}
	if vm.Clock == nil {
		vm.Clock = clock.Boottime{}
	}
	if vm.Board == nil {
		vm.Board = &board.Board{}
	}
	if vm.Scope == nil {
		vm.Scope = tally.NoopScope
	}
	vm.Log.VM = vm.Settings.ID
	vm.Self = board.VMRef{ID: vm.Settings.ID, Incarnation: vm.Incarnation}
	vm.startedAt = vm.Clock.Now()
	vm.stopRequested = make(chan struct{})
	vm.traces.clk = vm.Clock
	vm.runs.retention, vm.runs.maxBytes = vm.Settings.Answers.KeepFor, int(vm.Settings.Limits.MaxAnswerMemory)
	vm.initAdapters()
	vm.initDecisions()
	return nil
}

func (vm *VM) initAdapters() {
	set := vm.Settings
	hc := backend.NewHTTP(backend.Limits{})
	token := set.Backends.Token.Reveal()
	vm.Engines = &engine.Client{HTTP: hc, Self: vm.Self, Token: token, Scope: vm.Scope, Log: vm.Log, Clock: vm.Clock, Incarnations: &vm.incarnations}
	vm.Services = &service.Client{HTTP: hc, Self: vm.Self, Token: token, Scope: vm.Scope, Log: vm.Log, Clock: vm.Clock, Incarnations: &vm.incarnations}
	vm.Logs = &logsvc.Client{URL: "http://" + set.Log.Address.String(), Token: set.Log.Token.Reveal()}
	vm.List = &vmlist.Client{URL: "http://" + set.VMList.Address.String(), Token: set.VMList.Token.Reveal()}
	vm.Peers = &peer.Transport{
		Self:       vm.Self,
		Listen:     set.Peer.Listen.String(),
		Secret:     []byte(set.Peer.Secret.Reveal()),
		Handler:    peerHandler{vm},
		OnDatagram: vm.handleDatagram,
		Scope:      vm.Scope,
		Log:        vm.Log,
		Clock:      vm.Clock,

		DialTimeout:      dialTimeout,
		HandshakeTimeout: handshakeTimeout,
		Limits:           peer.Limits{MaxStreams: maxPeerStreams},
	}
	budget := memory.NewBudget(requestMemory(int64(set.Limits.MaxRequestMemory)))
	vm.callers = &caller.Server{
		Listen: set.Caller.Listen.String(),
		Runner: vm,
		Board:  vm.Board,
		Limits: callerLimits(set, resources()),
		Scope:  vm.Scope,
		Logger: vm.Log,

		Memory:         budget,
		MemoryRecorder: memory.NewRecorder(budget, vm.Log, vm.Scope.SubScope("Memory")),
	}
}

// serveOperators serves the operators' interface.
func (vm *VM) serveOperators(ctx context.Context) error {
	ln, err := net.Listen("tcp", vm.Settings.Operator.Listen.String())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	rs := resources()
	srv := &operator.Server{
		Listener: ln,
		Token:    vm.Settings.Operator.Token,
		Backend:  operatorBackend{vm},
		Metrics:  vm.Metrics,
		Scope:    vm.Scope.SubScope("Operator"),
		Log:      vm.Log,

		Connections: rs.Connections(operatorsShare),
		HeadMemory:  rs.HeadMemory(operatorsShare),
	}
	if err := srv.Run(ctx); err != nil {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// maxStopWait limits a planned stop. It is above the longest deadline that a template
// may set, so that the stop cuts off no request.
const maxStopWait = 25 * clock.Hour

// callerLimits returns the limits for callers from the settings and what the machine allows.
func callerLimits(set settings.Settings, rs ingress.Resources) caller.Limits {
	return caller.Limits{
		MaxBody:       int64(set.Limits.MaxBody),
		HeaderBytes:   int(set.Limits.MaxHeader),
		HeaderTimeout: set.Limits.HeaderTimeout,
		IdleTimeout:   set.Limits.IdleTimeout,
		Connections:   min(set.Limits.MaxConnections, rs.Connections(callersShare)),
		HeadMemory:    rs.HeadMemory(callersShare),
		Addresses:     set.Addresses.Count,
		ListLag:       set.Drain.Linger,
		BodyGrace:     set.Limits.BodyTimeout,
		StopWait:      maxStopWait,
	}
}

// initDecisions creates the decision packages and their loops.
func (vm *VM) initDecisions() {
	vm.scheduler = scheduler{vm: vm}
	vm.fallback = fallbackPlacer{vm: vm, fb: sched.Fallback{Rand: vm.rand(4)}, placed: make(map[string]int)}
	vm.janitor = janitor{cancel: vm.Engines.CancelAttempt, find: vm.server, lg: vm.Log}
	vm.chooser.Chooser = &balance.Chooser{Rand: vm.rand(1)}
	vm.retries.Policy = &retry.Policy{Rand: vm.rand(2)}
	vm.retries.count.Scope = vm.Scope
	vm.initPoison()
	vm.initMembers()
	vm.templateFollower = vm.newLogFollower(vm.Settings.Log.Stream, register.Templates)
	vm.leaseFollower = vm.newLogFollower(leasesStream(vm.Settings.Log.Stream), register.Leases)
	vm.leaseFollower.fo.Settings.ReadWait = leaseReadWait
	vm.leaseFollower.afterStep = vm.observeLeases
	vm.initBook()
}

// rand returns a random source for one decision package. The seed differs between VMs
// and between starts.
func (vm *VM) rand(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(vm.Self.Incarnation, hashID(vm.Self.ID)+part))
}

// server returns a backend server with the incarnation that it last reported.
func (vm *VM) server(id string) (board.BackendServer, bool) {
	srv, ok := vm.Board.Backends().Server(id)
	if srv.Incarnation == 0 {
		srv.Incarnation = vm.incarnations.Latest(id)
	}
	return srv, ok
}
