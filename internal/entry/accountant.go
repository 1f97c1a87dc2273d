package entry

import (
	"context"
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

		mu   sync.Mutex
		cell cell
		held map[string]*heldRequest
	}

	// heldRequest is a request that is queued or granted.
	heldRequest struct {
		runner    board.VMRef
		outbox    chan *peerpb.Frame // never closed; the writer stops with done
		done      chan struct{}
		granted   bool
		orphan    bool
		quick     bool
		stage     sched.Stage // last reported stage
		preempted bool        // the grant was revoked; the request is queued again
		attempt   int         // number of the grant
		prefill   string      // ID of the engine
		decode    string      // ID of the engine
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
	ac.Step = dc.Step
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
func (ac *scheduler) serve(ctx context.Context, from board.VMRef, ask *peerpb.ReserveAsk, cn frameStream) {
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
	hc.serve(ctx, from, ask, cn)
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
// loop until the stream ends.
func (hc *heldCell) serve(ctx context.Context, from board.VMRef, ask *peerpb.ReserveAsk, cn frameStream) {
	hr := hc.addRequest(from, ask)
	go hr.write(cn)
	defer close(hr.done)
	stop := context.AfterFunc(hc.ctx, func() { cn.Close() })
	defer stop()
	hr.send(doneFrame())
	if !hc.ac.Send(ctx, hc.openingEvent(from, ask)) {
		return
	}
	for {
		fr, err := cn.Recv()
		if err != nil {
			hc.streamLost(ctx, ask.GetRequest(), hr)
			return
		}
		pg := fr.GetProgress()
		if pg == nil {
			continue
		}
		stage := sched.Stage(pg.GetStage())
		if stage == stageWithdrawn {
			hc.removeRequest(ask.GetRequest(), hr)
			hc.ac.Send(ctx, sched.Withdraw{Request: ask.GetRequest()})
			return
		}
		if stage == stageWrongRole {
			hc.rec.refreshRole(ctx, pg.GetServer())
			continue
		}
		if stage == stageResting {
			hc.ac.Send(ctx, sched.Rest{Server: pg.GetServer(), For: clock.Millis(pg.GetTook())})
			continue
		}
		if pg.GetServer() != "" {
			hc.recordStage(hr, stage, pg.GetServer())
		}
		hc.ac.Send(ctx, sched.Progress{
			Request: ask.GetRequest(),
			Attempt: int(pg.GetAttempt()),
			Stage:   stage,
			Tokens:  int(pg.GetTokens()),
			Took:    clock.Millis(pg.GetTook()),
		})
		if stage == sched.Ended || stage == sched.Cancelled {
			hc.removeRequest(ask.GetRequest(), hr)
			// The runner may have closed the stream before it received a later grant.
			hc.ac.Send(ctx, sched.Withdraw{Request: ask.GetRequest()})
			return
		}
	}
}

// openingEvent returns the scheduling event for the first frame of a reservation.
func (hc *heldCell) openingEvent(from board.VMRef, ask *peerpb.ReserveAsk) sched.Event {
	as := askFromWire(from, ask, hc.vm.Clock.Now())
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

// addRequest adds the request of a reservation. It replaces the entry of an earlier stream
// of the same request, whose end streamLost then ignores.
func (hc *heldCell) addRequest(from board.VMRef, ask *peerpb.ReserveAsk) *heldRequest {
	hr := &heldRequest{
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
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hc.held[ask.GetRequest()] = hr
	return hr
}

// streamLost handles a stream that closed without a final frame. A request that
// was not granted is withdrawn; a granted one stays as an orphan until its
// engines are known to have released it.
func (hc *heldCell) streamLost(ctx context.Context, request string, hr *heldRequest) {
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
		hc.ac.Send(ctx, sched.Orphan{Request: request})
		return
	}
	hc.ac.Send(ctx, sched.Withdraw{Request: request})
}

func (hc *heldCell) removeRequest(request string, hr *heldRequest) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	if hc.held[request] == hr {
		delete(hc.held, request)
	}
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
		hc.sendToRunner(in.Request, &peerpb.Frame{Body: &peerpb.Frame_Grant{Grant: &peerpb.Grant{
			PrefillServer: in.Prefill, DecodeServer: in.Decode, SkipPrefill: in.SkipPrefill, Attempt: uint32(in.Attempt),
		}}}, func(hr *heldRequest) {
			hr.granted, hr.attempt, hr.prefill, hr.decode = true, in.Attempt, in.Prefill, in.Decode
			hr.stage, hr.preempted = sched.Prefilling, false
		})
	case sched.Transfer:
		hc.logTransfer(in)
		hc.sendToRunner(in.Request, &peerpb.Frame{Body: &peerpb.Frame_Transfer{Transfer: &peerpb.Transfer{
			PrefillServer: in.Prefill, DecodeServer: in.Decode, Attempt: uint32(in.Attempt),
		}}}, func(hr *heldRequest) { hr.decode = in.Decode })
	case sched.Preempt:
		hc.sendToRunner(in.Request, &peerpb.Frame{Body: &peerpb.Frame_Preempt{Preempt: &peerpb.Preempt{
			Reason: string(in.Reason), Attempt: uint32(in.Attempt),
		}}}, func(hr *heldRequest) { hr.preempted = true })
	case sched.Closed:
		hc.vm.Log.Log(event.EngineClosed, event.F("Server", in.Server), event.F("Role", in.Role), event.F("For", in.For),
			event.F("Lost", in.Lost), event.F("Request", in.Request))
	case sched.Refuse:
		hc.sendToRunner(in.Request, refusalFrame(in.Refusal), func(*heldRequest) {})
		hc.mu.Lock()
		delete(hc.held, in.Request)
		hc.mu.Unlock()
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
// nothing if the cell no longer holds the request.
func (hc *heldCell) sendToRunner(request string, fr *peerpb.Frame, note func(*heldRequest)) {
	hc.mu.Lock()
	defer hc.mu.Unlock()
	hr, ok := hc.held[request]
	if !ok {
		return
	}
	note(hr)
	hr.send(fr)
}

// send queues a frame. If the runner lets its outbox fill up, the frame is dropped, which
// has the same effect for the runner as a lost stream.
func (hr *heldRequest) send(fr *peerpb.Frame) {
	select {
	case hr.outbox <- fr:
	default:
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
	hc.mu.Lock()
	hr, ok := hc.held[request]
	delete(hc.held, request)
	hc.mu.Unlock()
	if !ok {
		return
	}
	hc.ac.Send(ctx, sched.Progress{Request: request, Attempt: hr.attempt, Stage: sched.Cancelled})
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
