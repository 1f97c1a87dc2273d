package entry

import (
	"context"
	"errors"
	"sync"

	"alderdyke/internal/actor"
	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/internal/orders"
	"alderdyke/internal/register"
	"alderdyke/internal/sched"
	"alderdyke/pkg/clock"
)

// Intervals and timeouts of orders to engines.
const (
	ordersTick       = 500 * clock.Millis(1)
	roleOrderTimeout = 5 * clock.Second  // for the reply to a role change
	loadOrderTimeout = 60 * clock.Second // for the reply to a load order
)

// stageWrongRole is sent by a runner in place of a stage. It names an engine that
// declined because of its role.
const stageWrongRole sched.Stage = "WrongRole"

// stageRevoked is sent in place of a stage. It confirms that the engines hold nothing of the
// revoked grant with that attempt number, nor of earlier ones.
const stageRevoked sched.Stage = "Revoked"

// stageResting is sent in place of a stage. It names an engine that requested a pause, with its length.
const stageResting sched.Stage = "Resting"

type (
	// orderer sends orders to the engines of one cell that this VM schedules.
	orderer struct {
		hc    *heldCell
		ac    *actor.Actor[orders.Event, orders.Intent]
		lease *lease

		mu      sync.Mutex
		replies map[string]chan orders.OperatorReply
	}

	// demand is the load that the requests of a cell put on it.
	demand struct {
		quick, patient int            // queued requests
		granted        map[string]int // granted requests and unconfirmed revocations, by each engine that they use
		pendingPrompts map[string]int // granted requests whose prompts are not computed yet, by prefill engine
	}

	// reportedRole is the role that an engine reported.
	reportedRole struct {
		role board.Role
		at   clock.Millis // a time at which the engine had the role
	}
)

func (hc *heldCell) newOrderer(ctx context.Context, name string) *orderer {
	vm := hc.vm
	or := &orderer{hc: hc, replies: make(map[string]chan orders.OperatorReply)}
	ce := &orders.Cell{Settings: orders.Settings{NoRoleChanges: !vm.Settings.Roles.Enabled, Dwell: vm.Settings.Roles.Dwell}}
	or.ac = actor.New[orders.Event, orders.Intent](vm.Clock, orders.Tick{}, ordersTick)
	or.ac.Step = ce.Step
	or.ac.Execute = or.handleIntent
	or.ac.WakeTime = func(orders.Intent) (clock.Millis, bool) { return 0, false }
	or.lease = vm.newLease(ctx, name, or.post)
	return or
}

func (or *orderer) start() {
	or.hc.vm.wg.Go(func() { or.ac.Run(or.hc.ctx) })
	or.hc.vm.wg.Go(func() { or.lease.ac.Run(or.hc.ctx) })
}

func (or *orderer) post(ev orders.Event) { or.ac.Send(or.hc.ctx, ev) }

func (or *orderer) handleIntent(in orders.Intent) {
	hc := or.hc
	switch in := in.(type) {
	case orders.WantLease:
		or.lease.ac.Send(hc.ctx, register.LeaseWanted{Hold: in.Hold})
	case orders.Drain:
		hc.rec.drain(hc.ctx, in)
	case orders.Inspect:
		hc.vm.wg.Go(func() { or.inspect(in) })
	case orders.Send:
		hc.vm.wg.Go(func() { or.send(in) })
	case orders.OperatorReply:
		or.deliver(in)
	case orders.LogEvent:
		hc.vm.Log.Log(in.Event, in.Fields...)
	}
}

// inspect requests an engine's runs and role.
func (or *orderer) inspect(in orders.Inspect) {
	hc := or.hc
	out := orders.Inspected{Server: in.Server, Asked: hc.vm.Clock.Now(), Failed: true}
	defer func() { or.post(out) }()
	srv, ok := hc.server(in.Server)
	if !ok {
		return
	}
	runs, err := hc.rec.running(hc.ctx, srv)
	if err != nil {
		return
	}
	ctx, stop := context.WithTimeout(hc.ctx, reportTimeout.Std())
	defer stop()
	asked := hc.vm.Clock.Now()
	rp, err := hc.vm.Engines.Load(ctx, srv)
	if err != nil {
		return
	}
	out.Failed, out.Runs, out.Role, out.RoleAt = false, len(runs), rp.Role, asked-rp.Age
}

// send sends an order, unless the lease check immediately before it fails.
func (or *orderer) send(in orders.Send) {
	hc := or.hc
	out := orders.Sent{Server: in.Server, Outcome: orders.Outcome{Reason: orders.Declined}}
	defer func() { or.post(out) }()
	srv, ok := hc.server(in.Server)
	if !ok {
		return
	}
	within := loadOrderTimeout
	if in.Order.Kind == engine.ChangeRole || in.Order.Kind == engine.RaiseFence {
		within = roleOrderTimeout
	}
	ctx, stop := context.WithTimeout(hc.ctx, within.Std())
	defer stop()
	res, err := hc.vm.Engines.OrderIf(ctx, srv, in.Order, func() bool { return or.lease.mayOrder(in.Order.Fence, in.LeaseMargin) })
	out.Outcome = outcomeOf(res, err)
	if err == nil && res.Role != "" {
		hc.rec.updateRole(hc.ctx, in.Server, reportedRole{role: res.Role, at: hc.vm.Clock.Now()})
	}
}

// outcomeOf translates the result of an order for the decision loop.
func outcomeOf(res engine.OrderResult, err error) orders.Outcome {
	oc, why := backend.OutcomeOf(err)
	switch {
	case oc == backend.Done:
		return orders.Outcome{Role: res.Role, Repeated: res.Repeated}
	case errors.Is(err, backend.ErrWithheld):
		return orders.Outcome{Reason: orders.LeaseLost}
	case oc == backend.NotSent:
		return orders.Outcome{Reason: orders.Declined}
	case oc == backend.Declined && why == backend.StaleFence:
		return orders.Outcome{Reason: orders.Fenced, Decline: why}
	case oc == backend.Declined:
		return orders.Outcome{Reason: orders.Declined, Decline: why}
	default:
		return orders.Outcome{Reason: orders.InDoubt}
	}
}

// giveOrder passes an operator's order to the decision loop and waits for the result.
func (or *orderer) giveOrder(ctx context.Context, gv orders.OperatorOrder) orders.OperatorReply {
	ch := make(chan orders.OperatorReply, 1)
	or.mu.Lock()
	or.replies[gv.ID] = ch
	or.mu.Unlock()
	defer func() {
		or.mu.Lock()
		defer or.mu.Unlock()
		delete(or.replies, gv.ID)
	}()
	or.ac.Send(ctx, gv)
	select {
	case an := <-ch:
		return an
	case <-or.hc.ctx.Done():
		return orders.OperatorReply{ID: gv.ID, Reason: orders.InDoubt}
	case <-ctx.Done():
		return orders.OperatorReply{ID: gv.ID, Reason: orders.InDoubt}
	}
}

func (or *orderer) deliver(an orders.OperatorReply) {
	or.mu.Lock()
	defer or.mu.Unlock()
	if ch, ok := or.replies[an.ID]; ok {
		ch <- an
		delete(or.replies, an.ID)
	}
}

// observeCell passes the state of the cell to the loop that decides on orders.
func (rc *reconciler) observeCell() {
	hc := rc.hc
	at := hc.vm.Clock.Now()
	dm := hc.demand()
	ob := orders.Observed{At: at, Quick: dm.quick, Patient: dm.patient}
	rc.mu.Lock()
	for _, srv := range hc.servers() {
		rp, ok := rc.reports[srv.ID]
		kr := rc.roles[srv.ID]
		ob.Engines = append(ob.Engines, orders.Engine{
			ID:             srv.ID,
			Role:           kr.role,
			RoleAt:         kr.at,
			ChecksFencing:  srv.ChecksFencing,
			Usable:         ok && rc.misses[srv.ID] < maxReportMisses && !rc.leaving[srv.ID] && !srv.Leaving,
			Granted:        dm.granted[srv.ID],
			PendingPrompts: dm.pendingPrompts[srv.ID],
			Running:        rp.Running,
			Slots:          rp.Slots,
			Queued:         rp.Queued,
		})
	}
	rc.mu.Unlock()
	hc.ord.post(ob)
}

// updateRole records the role that an engine reported, unless a later report is
// known, and applies it at once.
func (rc *reconciler) updateRole(ctx context.Context, server string, kr reportedRole) {
	if rc.recordRole(server, kr) {
		rc.updateServers(ctx)
	}
}

// recordRole records a reported role and reports whether the role in use has changed.
func (rc *reconciler) recordRole(server string, kr reportedRole) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	old := rc.roles[server]
	if kr.role == "" || kr.at < old.at {
		return false
	}
	rc.roles[server] = kr
	if old.role == kr.role {
		return false
	}
	if srv, ok := rc.hc.server(server); ok && srv.Role != kr.role {
		rc.hc.vm.Log.Log(event.RoleDiffers, event.F("Server", server), event.F("Reported", kr.role), event.F("Listed", srv.Role))
	}
	return true
}

// refreshRole requests a load report at once from an engine that declined a request
// because of its role.
func (rc *reconciler) refreshRole(ctx context.Context, server string) {
	srv, ok := rc.hc.server(server)
	if ok && rc.pollEngine(ctx, srv) {
		rc.updateServers(ctx)
	}
}

// drain stops new work for an engine, or allows it again. It confirms a stop when the
// scheduling loop has heeded it and all grants that it had decided on are in hc.held.
func (rc *reconciler) drain(ctx context.Context, in orders.Drain) {
	rc.mu.Lock()
	rc.drained[in.Server] = in.Stop
	rc.mu.Unlock()
	rc.updateServers(ctx)
	if !in.Stop {
		return
	}
	hc := rc.hc
	hc.ac.Send(ctx, barrier{run: func(now clock.Millis) {
		// The loop must not wait for the loop of orders, which may be waiting for it.
		hc.vm.wg.Go(func() { hc.ord.post(orders.Drained{Server: in.Server, At: now}) })
	}})
}

func (rc *reconciler) updateServers(ctx context.Context) {
	rc.hc.ac.Send(ctx, sched.Servers{Servers: rc.markUnfit(rc.hc.servers())})
}

// demand counts the queued requests, and the granted ones by the engines that they
// use at their stage. A runner that has not confirmed the revocation of a grant may still use
// that grant's engines.
func (hc *heldCell) demand() demand {
	dm := demand{granted: make(map[string]int), pendingPrompts: make(map[string]int)}
	hc.mu.Lock()
	defer hc.mu.Unlock()
	for _, hr := range hc.held {
		for _, rv := range hr.revoked {
			dm.granted[rv.prefill]++
			dm.granted[rv.decode]++
		}
		waits := !hr.granted || hr.preempted
		switch {
		case waits && hr.quick:
			dm.quick++
		case waits:
			dm.patient++
		default:
			dm.granted[hr.decode]++
			if hr.stage != sched.Decoding {
				dm.granted[hr.prefill]++
			}
			if hr.stage == sched.Prefilling {
				dm.pendingPrompts[hr.prefill]++
			}
		}
	}
	return dm
}

func (hc *heldCell) server(id string) (board.BackendServer, bool) {
	for _, srv := range hc.servers() {
		if srv.ID == id {
			return srv, true
		}
	}
	return board.BackendServer{}, false
}

// allCells returns the cells that this VM schedules.
func (ac *scheduler) allCells() []*heldCell {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	var out []*heldCell
	for _, hc := range ac.cells {
		out = append(out, hc)
	}
	return out
}
