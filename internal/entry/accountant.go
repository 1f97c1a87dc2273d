package entry

import (
	"context"
	"slices"
	"sync"

	"alderdyke/internal/actor"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/peer/peerpb"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Intervals and limits of scheduling.
const (
	cellTick         = 50 * clock.Millis(1)
	reportInterval   = 500 * clock.Millis(1)
	reportTimeout    = 1 * clock.Second
	outboxDepth      = 16
	lateTransferWait = 400 * clock.Millis(1) // a KV cache that waits longer is logged
)

type (
	// scheduler holds the cells that this VM schedules.
	scheduler struct {
		vm *VM

		mu    sync.Mutex
		cells map[string]*heldCell
	}

	// heldCell is one cell that this VM schedules, with its loops and its requests.
	heldCell struct {
		vm   *VM
		ctx  context.Context // ends when another VM schedules the cell
		stop context.CancelFunc
		ac   *actor.Actor[sched.Event, sched.Intent]
		rec  reconciler
		ord  *orderer

		// order is held while a request is added or removed and the scheduling loop is
		// informed of it, so that the loop receives these events in the order in which
		// held changed. Intents are carried out without it.
		order sync.Mutex

		mu      sync.Mutex
		cell    cell
		held    map[string]*heldRequest
		streams uint64 // number of reservation streams so far
	}

	// barrier is an event that only calls run, once the scheduling loop has processed all
	// events before it and carried out their intents.
	barrier struct {
		sched.Event
		run func(now clock.Millis)
	}

	// heldRequest is a request that is queued or granted.
	heldRequest struct {
		stream    uint64 // number of the stream
		end       func() // closes the stream; may be called more than once
		runner    board.VMRef
		outbox    chan *peerpb.Frame // never closed; the writer stops with done
		done      chan struct{}
		granted   bool
		orphan    bool
		quick     bool
		stage     sched.Stage    // last reported stage
		preempted bool           // the grant was revoked; the request is queued again
		attempt   int            // number of the grant
		prefill   string         // ID of the engine
		decode    string         // ID of the engine
		revoked   []revokedGrant // that the runner has not confirmed
	}

	// revokedGrant is a grant that the scheduler has revoked.
	revokedGrant struct {
		attempt         int
		prefill, decode string // IDs of the engines
	}
)

// updateCells takes over the cells that are now assigned to this VM and releases
// the others.
func (ac *scheduler) updateCells(ctx context.Context) {
	fl := ac.vm.Board.Fleet()
	mine := make(map[string]cell)
	for _, ce := range ac.vm.cellList().cells {
		if vm, ok := schedulerOf(ce.Name, fl); ok && vm.ID == fl.Self.ID {
			mine[ce.Name] = ce
		}
	}
	ac.mu.Lock()
	defer ac.mu.Unlock()
	for name, hc := range ac.cells {
		if _, ok := mine[name]; !ok {
			hc.stop()
			delete(ac.cells, name)
			ac.vm.Log.Log(event.CellGiven, event.F("Cell", name))
		}
	}
	for name, ce := range mine {
		hc, ok := ac.cells[name]
		if !ok {
			hc = ac.addCell(ctx, ce)
		}
		hc.setCell(ctx, ce)
	}
}

func (ac *scheduler) addCell(ctx context.Context, ce cell) *heldCell {
	ctx, stop := context.WithCancel(ctx)
	hc := &heldCell{vm: ac.vm, ctx: ctx, stop: stop, held: make(map[string]*heldRequest)}
	hc.rec = newReconciler(hc)
	hc.ord = hc.newOrderer(ctx, ce.Name)
	hc.ac = hc.newDecisionLoop(ce.Name)
	ac.vm.wg.Go(func() { hc.ac.Run(ctx) })
	ac.vm.wg.Go(func() { hc.rec.run(ctx) })
	hc.ord.start()
	if ac.cells == nil {
		ac.cells = make(map[string]*heldCell)
	}
	ac.cells[ce.Name] = hc
	ac.vm.Log.Log(event.CellTaken, event.F("Cell", ce.Name), event.F("Servers", len(ce.Servers)))
	return hc
}

// newDecisionLoop returns the actor that schedules the cell.
func (hc *heldCell) newDecisionLoop(name string) *actor.Actor[sched.Event, sched.Intent] {
	dc := &sched.Cell{Name: name}
	ac := actor.New[sched.Event, sched.Intent](hc.vm.Clock, sched.Tick{}, cellTick)
	ac.Step = func(now clock.Millis, ev sched.Event) []sched.Intent {
		if ba, ok := ev.(barrier); ok {
			ba.run(now)
			return nil
		}
		return dc.Step(now, ev)
	}
	ac.Execute = hc.handleIntent
	ac.WakeTime = actor.WakeTimeFunc[sched.Intent](func(wk sched.Wake) clock.Millis { return wk.At })
	return ac
}

// find returns a cell that this VM schedules.
func (ac *scheduler) find(name string) (*heldCell, bool) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	hc, ok := ac.cells[name]
	return hc, ok
}

// serve handles one reservation until its stream closes.
func (ac *scheduler) serve(from board.VMRef, ask *peerpb.ReserveAsk, cn frameStream) {
	defer cn.Close()
	hc, ok := ac.find(ask.GetCell())
	if !ok {
		cn.Send(refusalFrame(refusal.Refusal{
			Ran:        refusal.NotRun,
			Reason:     refusal.SchedulerAway,
			RetryAfter: clock.Second,
			Detail:     "the asked VM does not account for the cell",
		}))
		return
	}
	hc.serve(from, ask, cn)
}

// setCell updates the engines of the cell; engines that report that they are
// leaving, or that do not respond, get no new work.
func (hc *heldCell) setCell(ctx context.Context, ce cell) {
	hc.mu.Lock()
	hc.cell = ce
	hc.mu.Unlock()
	hc.ac.Send(ctx, sched.Servers{Servers: hc.rec.markUnfit(ce.Servers)})
}

func (hc *heldCell) servers() []board.BackendServer {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	return hc.cell.Servers
}

// serve adds the request to the cell, and passes the runner's frames to the scheduling
// loop until the stream ends. The loop is informed of that end too, so its events are sent
// under the cell's context and not under that of the stream's session.
func (hc *heldCell) serve(from board.VMRef, ask *peerpb.ReserveAsk, cn frameStream) {
	ctx, closeStream := context.WithCancel(hc.ctx)
	defer closeStream()
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	defer stop()
	hr := newHeldRequest(from, ask)
	hr.end = closeStream
	go hr.write(cn)
	defer close(hr.done)
	hc.addRequest(ask, hr)
	for {
		fr, err := cn.Recv()
		if err != nil {
			hc.streamLost(ask.GetRequest(), hr)
			return
		}
		pg := fr.GetProgress()
		if pg == nil {
			continue
		}
		stage := sched.Stage(pg.GetStage())
		if stage == stageWithdrawn {
			hc.removeRequest(ask.GetRequest(), hr)
			return
		}
		if stage == stageWrongRole {
			hc.rec.refreshRole(hc.ctx, pg.GetServer())
			continue
		}
		if stage == stageRevoked {
			hc.confirmRevoked(hr, int(pg.GetAttempt()))
			continue
		}
		if stage == stageResting {
			hc.ac.Send(hc.ctx, sched.Rest{Server: pg.GetServer(), For: clock.Millis(pg.GetTook())})
			continue
		}
		if pg.GetServer() != "" {
			hc.recordStage(hr, stage, pg.GetServer())
		}
		hc.ac.Send(hc.ctx, sched.Progress{
			Request: ask.GetRequest(),
			Attempt: int(pg.GetAttempt()),
			Stage:   stage,
			Tokens:  int(pg.GetTokens()),
			Took:    clock.Millis(pg.GetTook()),
		})
		if stage == sched.Ended || stage == sched.Cancelled {
			// The runner may have closed the stream before it received a later grant.
			hc.removeRequest(ask.GetRequest(), hr)
			return
		}
	}
}

// openingEvent returns the scheduling event for the first frame of a reservation.
func (hc *heldCell) openingEvent(ask *peerpb.ReserveAsk, hr *heldRequest) sched.Event {
	as := askFromWire(hr.runner, ask, hc.vm.Clock.Now())
	as.Stream = hr.stream
	if ask.GetStage() == "" {
		return sched.Submit{Spec: as}
	}
	return sched.Adopt{
		Spec:    as,
		Stage:   sched.Stage(ask.GetStage()),
		Prefill: ask.GetPrefillServer(),
		Decode:  ask.GetDecodeServer(),
		Tokens:  int(ask.GetTokens()),
		Since:   clock.Millis(ask.GetSince()),
	}
}

func newHeldRequest(from board.VMRef, ask *peerpb.ReserveAsk) *heldRequest {
	return &heldRequest{
		runner:  from,
		outbox:  make(chan *peerpb.Frame, outboxDepth),
		done:    make(chan struct{}),
		granted: ask.GetStage() != "",
		stage:   sched.Stage(ask.GetStage()),
		quick:   ask.GetQuick(),
		attempt: int(ask.GetAttempt()),
		prefill: ask.GetPrefillServer(),
		decode:  ask.GetDecodeServer(),
	}
}

// addRequest adds the request of a reservation, acknowledges it, and passes it to the
// scheduling loop. It replaces the entry of another stream of the same request and closes
// that stream: its runner announces the request again if it still needs it.
func (hc *heldCell) addRequest(ask *peerpb.ReserveAsk, hr *heldRequest) {
	hc.order.Lock()
	defer hc.order.Unlock()
	hc.mu.Lock()
	hc.streams++
	hr.stream = hc.streams
	if old, ok := hc.held[ask.GetRequest()]; ok {
		old.end()
		hr.revoked = slices.DeleteFunc(old.revoked, func(rv revokedGrant) bool {
			return hr.granted && rv.attempt == hr.attempt // the runner has not read the revocation and will ignore it
		})
	}
	hc.held[ask.GetRequest()] = hr
	hc.mu.Unlock()
	hr.send(doneFrame())
	hc.ac.Send(hc.ctx, hc.openingEvent(ask, hr))
}

// streamLost handles a stream that closed without a final frame. A request that
// was not granted is withdrawn; a granted one stays as an orphan until its
// engines are known to have released it.
func (hc *heldCell) streamLost(request string, hr *heldRequest) {
	hc.order.Lock()
	defer hc.order.Unlock()
	hc.mu.Lock()
	if hc.held[request] != hr {
		hc.mu.Unlock()
		return // the runner announced the request again on another stream
	}
	granted := hr.granted
	if granted {
		hr.orphan = true
	} else {
		delete(hc.held, request)
	}
	hc.mu.Unlock()
	if granted {
		hc.ac.Send(hc.ctx, sched.Orphan{Request: request})
		return
	}
	hc.ac.Send(hc.ctx, sched.Withdraw{Request: request})
}

// removeRequest removes a request that its runner has ended, unless it was announced again
// on another stream.
func (hc *heldCell) removeRequest(request string, hr *heldRequest) {
	hc.order.Lock()
	defer hc.order.Unlock()
	hc.mu.Lock()
	current := hc.held[request] == hr
	if current {
		delete(hc.held, request)
	}
	hc.mu.Unlock()
	if current {
		hc.ac.Send(hc.ctx, sched.Withdraw{Request: request})
	}
}

// confirmRevoked records that the engines hold nothing of the revoked grants up to an attempt.
func (hc *heldCell) confirmRevoked(hr *heldRequest, attempt int) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hr.revoked = slices.DeleteFunc(hr.revoked, func(rv revokedGrant) bool { return rv.attempt <= attempt })
}

func (hc *heldCell) recordStage(hr *heldRequest, stage sched.Stage, server string) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hr.stage = stage
	if stage == sched.Prefilling || stage == sched.Prefilled {
		hr.prefill = server
		return
	}
	hr.decode = server
}

// handleIntent sends a scheduling decision to the VM that runs the request.
func (hc *heldCell) handleIntent(in sched.Intent) {
	switch in := in.(type) {
	case sched.Grant:
		hc.sendToRunner(in.Request, in.Stream, &peerpb.Frame{Body: &peerpb.Frame_Grant{Grant: &peerpb.Grant{
			PrefillServer: in.Prefill, DecodeServer: in.Decode, SkipPrefill: in.SkipPrefill, Attempt: uint32(in.Attempt),
		}}}, func(hr *heldRequest) {
			hr.granted, hr.attempt, hr.prefill, hr.decode = true, in.Attempt, in.Prefill, in.Decode
			hr.stage, hr.preempted = sched.Prefilling, false
		})
	case sched.Transfer:
		hc.logTransfer(in)
		hc.sendToRunner(in.Request, in.Stream, &peerpb.Frame{Body: &peerpb.Frame_Transfer{Transfer: &peerpb.Transfer{
			PrefillServer: in.Prefill, DecodeServer: in.Decode, Attempt: uint32(in.Attempt),
		}}}, func(hr *heldRequest) { hr.decode = in.Decode })
	case sched.Preempt:
		hc.sendToRunner(in.Request, in.Stream, &peerpb.Frame{Body: &peerpb.Frame_Preempt{Preempt: &peerpb.Preempt{
			Reason: string(in.Reason), Attempt: uint32(in.Attempt),
		}}}, func(hr *heldRequest) {
			hr.preempted = true
			hr.revoked = append(hr.revoked, revokedGrant{attempt: in.Attempt, prefill: hr.prefill, decode: hr.decode})
		})
	case sched.Unknown:
		hc.closeUnknown(in)
	case sched.Closed:
		hc.vm.Log.Log(event.EngineClosed, event.F("Server", in.Server), event.F("Role", in.Role), event.F("For", in.For),
			event.F("Lost", in.Lost), event.F("Request", in.Request))
	case sched.Refuse:
		hc.sendToRunner(in.Request, in.Stream, refusalFrame(in.Refusal), func(*heldRequest) { delete(hc.held, in.Request) })
	}
}

// logTransfer logs a transfer that started late or replaces a stalled one.
func (hc *heldCell) logTransfer(in sched.Transfer) {
	switch {
	case in.Stalled != "":
		hc.vm.Log.Log(event.TransferMoved, event.F("Request", in.Request), event.F("From", in.Stalled),
			event.F("To", in.Decode), event.F("Spent", in.Elapsed), event.F("Expected", in.Expected))
	case in.Waited >= lateTransferWait:
		hc.vm.Log.Log(event.TransferWaited, event.F("Request", in.Request), event.F("Server", in.Prefill),
			event.F("For", in.WaitedFor), event.F("Waited", in.Waited))
	}
}

// sendToRunner records a decision with note and queues its frame for the runner. It does
// nothing if the request is no longer held for that stream; the event that takes the
// decision back is then on its way to the scheduling loop.
func (hc *heldCell) sendToRunner(request string, stream uint64, fr *peerpb.Frame, note func(*heldRequest)) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hr, ok := hc.held[request]
	if !ok || hr.stream != stream {
		return
	}
	note(hr)
	hr.send(fr)
}

// send queues a frame. If the runner lets its outbox fill up, the stream is closed, so that
// it announces its request again.
func (hr *heldRequest) send(fr *peerpb.Frame) {
	select {
	case hr.outbox <- fr:
	default:
		hr.end()
	}
}

// audit passes the requests that this VM holds to the scheduling loop.
func (hc *heldCell) audit() {
	hc.order.Lock()
	defer hc.order.Unlock()
	var held []sched.HeldRequest
	hc.mu.Lock()
	for request, hr := range hc.held {
		held = append(held, sched.HeldRequest{Request: request, Stream: hr.stream, Waiting: !hr.granted || hr.preempted})
	}
	hc.mu.Unlock()
	hc.ac.Send(hc.ctx, sched.Audit{Held: held})
}

// closeUnknown closes the stream of a request that the scheduling loop does not have.
func (hc *heldCell) closeUnknown(in sched.Unknown) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	if hr, ok := hc.held[in.Request]; ok && hr.stream == in.Stream {
		delete(hc.held, in.Request)
		hr.end()
	}
}

func (hr *heldRequest) write(cn frameStream) {
	for {
		select {
		case fr := <-hr.outbox:
			if cn.Send(fr) != nil {
				return
			}
		case <-hr.done:
			return
		}
	}
}

// releaseOrphan reports to the scheduling loop that no engine holds an orphan any more.
func (hc *heldCell) releaseOrphan(ctx context.Context, request string) {
	hc.order.Lock()
	defer hc.order.Unlock()
	hc.mu.Lock()
	hr, ok := hc.held[request]
	ok = ok && hr.orphan
	if ok {
		delete(hc.held, request)
	}
	hc.mu.Unlock()
	if ok {
		hc.ac.Send(ctx, sched.Progress{Request: request, Attempt: hr.attempt, Stage: sched.Cancelled})
	}
}

// orphans returns the granted requests whose streams were lost.
func (hc *heldCell) orphans() map[string]heldRequest {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	out := make(map[string]heldRequest)
	for request, hr := range hc.held {
		if hr.orphan {
			out[request] = heldRequest{runner: hr.runner, prefill: hr.prefill, decode: hr.decode}
		}
	}
	return out
}

// askFromWire decodes a reservation; durations become times on this VM's clock.
func askFromWire(from board.VMRef, ask *peerpb.ReserveAsk, now clock.Millis) sched.RequestSpec {
	return sched.RequestSpec{
		Request:       ask.GetRequest(),
		Customer:      ask.GetCustomer(),
		Class:         ask.GetClass(),
		VM:            from,
		Quick:         ask.GetQuick(),
		PromptTokens:  int(ask.GetPromptTokens()),
		PrefixHash:    ask.GetPrefixHash(),
		PrefixTokens:  int(ask.GetPrefixTokens()),
		MaxTokens:     int(ask.GetMaxTokens()),
		TTFT:          clock.Millis(ask.GetTTFT()),
		TPOT:          clock.Millis(ask.GetTPOT()),
		Deadline:      now + clock.Millis(ask.GetDeadline()),
		Share:         ask.GetShare(),
		PrefillWeight: ask.GetPrefillWeight(),
		Attempt:       int(ask.GetAttempt()),
		HeldPrefill:   ask.GetHeldPrefill(),
	}
}
