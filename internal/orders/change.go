package orders

import (
	"alderdyke/internal/backend"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

// Phases of an order, as described in the package comment.
const (
	awaitingLease phase = iota
	settling
	fencing
	choosing
	draining
	sending
	verifying
)

// Steps of conveying the token to one engine.
const (
	raiseSent   fencingStep = iota // RaiseFence was sent
	keepPending                    // the engine does not know RaiseFence; the order to keep its role is not sent yet
	keepSent                       // the order to keep its role was sent
)

type (
	phase       int
	fencingStep int

	// activeOrder is the order in progress.
	activeOrder struct {
		id     string // of an operator's order; empty for a change of role
		server string // empty until the engine is chosen
		order  engine.Order
		phase  phase
		since  clock.Millis // when the phase began

		drained    bool                   // the engine gets no new work
		drainedAt  clock.Millis           // since when it is granted nothing; zero if that is not confirmed
		leaseSince clock.Millis           // start of the hold of the lease under which the order is given
		unfenced   map[string]fencingStep // engines that have not confirmed the token yet
		idleSince  clock.Millis           // since when the engine has no granted requests; zero if it has some
		inspectAt  clock.Millis           // of the next Inspect
		sentAt     clock.Millis           // when the order was last sent
		tries      int                    // number of times that the order was sent
	}
)

func (ce *Cell) enterPhase(now clock.Millis, ph phase) {
	ce.current.phase, ce.current.since = ph, now
}

// advance moves the order in progress through its phases as far as possible.
func (ce *Cell) advance(now clock.Millis) {
	for ce.current != nil {
		ao, ph := ce.current, ce.current.phase
		ce.advanceOnce(now)
		if ce.current != ao || ao.phase == ph {
			return
		}
	}
}

// advanceOnce checks the lease and does what the current phase requires at this time.
func (ce *Cell) advanceOnce(now clock.Millis) {
	ao := ce.current
	if ao.phase < sending && ao.phase != awaitingLease && !ce.sameLease(ao) {
		ce.finish(now, LeaseLost, Outcome{})
		return
	}
	switch ao.phase {
	case awaitingLease:
		switch {
		case ce.token != 0:
			ao.leaseSince = ce.heldAt
			ce.enterPhase(now, settling)
		case now-ao.since >= ce.Settings.LeaseTimeout:
			ce.finish(now, NoLease, Outcome{})
		}
	case settling:
		ce.settle(now)
	case fencing:
		ce.fence(now)
	case sending: // wait for Sent
	case choosing:
		ce.choose(now)
	case draining:
		ce.drain(now)
	case verifying:
		ce.verify(now)
	}
}

// sameLease reports whether the lease has been held without interruption since the
// order was started. A renewal changes the token but not the lease.
func (ce *Cell) sameLease(ao *activeOrder) bool { return ce.token != 0 && ce.heldAt == ao.leaseSince }

// settle waits until the roles of all engines are certain. An operator's order does not
// depend on the roles and only waits for settledFrom.
// waits until no order of the previous holder can still arrive.
func (ce *Cell) settle(now clock.Millis) {
	ao := ce.current
	switch {
	case ao.id != "" && now >= ce.settledFrom():
		ce.send(now)
	case ao.id == "" && ce.settled():
		ce.distributeToken(now)
	case now-ao.since >= ce.Settings.LeaseTimeout+ce.Settings.MaxOrderDelay:
		ce.finish(now, NotSettled, Outcome{})
	}
}

// distributeToken sends the token to all engines that check it. An order of the
// previous holder to another engine than the one that is about to change must be
// refused too, or else the old role could lose both engines.
func (ce *Cell) distributeToken(now clock.Millis) {
	ao := ce.current
	ao.order.Fence = ce.token
	ao.unfenced = make(map[string]fencingStep)
	for _, eng := range ce.observed.Engines {
		if eng.Usable && eng.ChecksFencing && !ce.disabled.noFence {
			ao.unfenced[eng.ID] = raiseSent
			ce.emit(Send{Server: eng.ID, Order: engine.Order{Kind: engine.RaiseFence, Fence: ao.order.Fence}})
		}
	}
	ce.enterPhase(now, fencing)
}

// fence conveys the token to the engines that do not know RaiseFence, by an order to
// keep their role. Such an order would undo a change that the engine has not reported
// yet, so it waits until no order of the previous holder can arrive any more.
func (ce *Cell) fence(now clock.Millis) {
	ao := ce.current
	if len(ao.unfenced) == 0 {
		ce.enterPhase(now, choosing)
		return
	}
	for _, eng := range ce.observed.Engines {
		st, ok := ao.unfenced[eng.ID]
		if !ok || st != keepPending || (eng.RoleAt < ce.heldAt+ce.Settings.MaxOrderDelay && !ce.disabled.noKeepWait) {
			continue
		}
		ao.unfenced[eng.ID] = keepSent
		ce.emit(Send{Server: eng.ID, Order: engine.Order{Kind: engine.ChangeRole, Role: eng.Role, Fence: ao.order.Fence}})
	}
	if now-ao.since >= ce.Settings.LeaseTimeout+ce.Settings.MaxOrderDelay {
		ce.finish(now, NotSettled, Outcome{})
	}
}

// handleFenced processes an engine's reply to the new token.
func (ce *Cell) handleFenced(now clock.Millis, ev Sent) {
	ao := ce.current
	st, ok := ao.unfenced[ev.Server]
	switch {
	case !ok || st == keepPending:
		return
	case st == raiseSent && ev.Outcome.Decline == backend.BadOrder:
		ao.unfenced[ev.Server] = keepPending
		return
	case ev.Outcome.Reason != CarriedOut:
		ce.finish(now, NotSettled, ev.Outcome)
		return
	}
	ce.recordRole(now, ev.Server, ev.Outcome)
	delete(ao.unfenced, ev.Server)
}

// choose picks the engine by the current state: the load may have changed, or the
// previous holder may already have changed a role. A load close to its threshold gets
// time to recover, because an abandoned change costs a dwell.
func (ce *Cell) choose(now clock.Millis) {
	ao := ce.current
	if ce.trend.shortRole != ao.order.Role {
		if now-ao.since >= ce.Settings.NeedTimeout {
			ce.finish(now, NotNeeded, Outcome{})
		}
		return
	}
	eng, ok := ce.pickEngine(ao.order.Role)
	if !ok {
		ce.finish(now, TooFew, Outcome{})
		return
	}
	ao.server = eng.ID
	ao.drained = true
	ao.inspectAt = now
	ce.enterPhase(now, draining)
	ce.emit(Drain{Server: eng.ID, Stop: true})
	ce.logEvent(event.RoleChangeBegun, event.F("Server", eng.ID), event.F("To", ao.order.Role), event.F("Work", eng.Granted))
}

// drain waits until the engine has completed its work.
func (ce *Cell) drain(now clock.Millis) {
	ao := ce.current
	eng, ok := ce.engineByID(ao.server)
	switch {
	case !ok || !eng.Usable || eng.Role != otherRole(ao.order.Role):
		ce.finish(now, NotNeeded, Outcome{})
	case !ce.maySpare(eng.Role):
		ce.finish(now, TooFew, Outcome{})
	case ce.disabled.noDrain:
		ce.send(now)
	case now-ao.since >= ce.Settings.DrainTimeout:
		ce.finish(now, NotDrained, Outcome{})
	case eng.Granted > 0, !ce.drainObserved():
		ao.idleSince = 0
	default:
		if ao.idleSince == 0 {
			ao.idleSince = now
		}
		ce.inspect(now)
	}
}

// handleDrained records that the engine is granted nothing more.
func (ce *Cell) handleDrained(ev Drained) {
	if ao := ce.current; ao != nil && ao.drained && ao.server == ev.Server {
		ao.drainedAt = ev.At
	}
}

// drainObserved reports whether the latest observation counts all that was granted on the
// engine. An earlier one may lack a grant that its runner has not used yet.
func (ce *Cell) drainObserved() bool {
	ao := ce.current
	return ce.disabled.noDrained || (ao.drainedAt != 0 && ce.observed.At > ao.drainedAt)
}

// inspect requests an Inspect of the engine, at most once per interval.
func (ce *Cell) inspect(now clock.Millis) {
	if now >= ce.current.inspectAt {
		ce.current.inspectAt = now + inspectInterval
		ce.emit(Inspect{Server: ce.current.server})
	}
}

// handleInspected processes the engine's own report of what it runs and of its role.
func (ce *Cell) handleInspected(now clock.Millis, ev Inspected) {
	ao := ce.current
	if ao == nil || ao.server != ev.Server || ev.Failed {
		return
	}
	switch ao.phase {
	case draining:
		eng, ok := ce.engineByID(ao.server)
		if ok && ev.Runs == 0 && eng.Granted == 0 && ao.idleSince != 0 && ev.Asked >= ao.idleSince &&
			ce.sameLease(ao) && ev.Role == eng.Role && ce.maySpare(eng.Role) {
			ce.send(now)
		}
	case verifying:
		ce.resolveDoubt(now, ev)
	}
}

// send sends the order with the token of the current lease.
func (ce *Cell) send(now clock.Millis) {
	ao := ce.current
	eng, ok := ce.engineByID(ao.server)
	if !ok {
		ce.finish(now, UnknownEngine, Outcome{})
		return
	}
	// A repeat carries the fencing token of the first attempt.
	if ao.order.Fence == 0 {
		ao.order.Fence = ce.token
	}
	ao.tries++
	ao.sentAt = now
	sd := Send{Server: ao.server, Order: ao.order}
	if !eng.ChecksFencing {
		sd.LeaseMargin = ce.Settings.LeaseMargin
	}
	ce.enterPhase(now, sending)
	ce.emit(sd)
}

// handleSent processes the outcome of an order.
func (ce *Cell) handleSent(now clock.Millis, ev Sent) {
	ao := ce.current
	switch {
	case ao == nil:
		return
	case ao.phase == fencing:
		ce.handleFenced(now, ev)
		return
	case ao.phase != sending || ao.server != ev.Server:
		return
	}
	switch ev.Outcome.Reason {
	case CarriedOut:
		ce.finish(now, CarriedOut, ev.Outcome)
	case InDoubt:
		if ce.disabled.noDoubt {
			ce.finish(now, InDoubt, ev.Outcome)
			return
		}
		ce.logEvent(event.OrderDoubted, event.F("Server", ao.server), event.F("Kind", ao.order.Kind), event.F("Token", ao.order.Fence))
		ao.inspectAt = now
		ce.enterPhase(now, verifying)
	case LeaseLost:
		ce.logEvent(event.OrderWithheld, event.F("Server", ao.server), event.F("Token", ao.order.Fence))
		ce.endUnsent(now, LeaseLost, ev.Outcome)
	case Fenced:
		ce.logEvent(event.OrderFenced, event.F("Server", ao.server), event.F("Token", ao.order.Fence))
		ce.endUnsent(now, Fenced, ev.Outcome)
	default:
		if ce.mayRetry() && ev.Outcome.Decline == "" {
			ce.send(now) // the order was not sent at all
			return
		}
		ce.endUnsent(now, Declined, ev.Outcome)
	}
}

// endUnsent ends an order whose last attempt had no effect. If an earlier attempt is in
// doubt, so is the order.
func (ce *Cell) endUnsent(now clock.Millis, reason Reason, oc Outcome) {
	if ce.current.tries > 1 && !ce.disabled.noDoubt {
		ce.enterPhase(now, verifying)
		ce.current.tries = maxSendTries
		return
	}
	ce.finish(now, reason, oc)
}

// mayRetry reports whether the same order may be sent again: only under the lease with
// which it was first sent, whose token it carries.
func (ce *Cell) mayRetry() bool {
	return ce.current.tries < maxSendTries && ce.sameLease(ce.current)
}

// verify queries the engine until its report shows whether the order took effect.
func (ce *Cell) verify(now clock.Millis) {
	ao := ce.current
	if ao.order.Kind != engine.ChangeRole {
		// Reports do not name what is loaded, but the reply to a repeated order does.
		if ce.mayRetry() {
			ce.send(now)
		} else {
			ce.finish(now, InDoubt, Outcome{})
		}
		return
	}
	if eng, ok := ce.engineByID(ao.server); !ok {
		ce.finish(now, InDoubt, Outcome{Role: eng.Role}) // the engine no longer exists, so its state no longer matters
		return
	}
	ce.inspect(now)
}

// resolveDoubt compares the engine's role after the order was sent with the role in the
// order.
func (ce *Cell) resolveDoubt(now clock.Millis, ev Inspected) {
	ao := ce.current
	switch {
	case ao.order.Kind != engine.ChangeRole || ev.RoleAt < ao.sentAt || ev.Role == "":
	case ev.Role == ao.order.Role:
		ce.finish(now, CarriedOut, Outcome{Role: ev.Role, Repeated: true})
	case ce.mayRetry():
		ce.send(now)
	case ev.RoleAt >= ao.sentAt+ce.Settings.MaxOrderDelay:
		// Any order in transit has either arrived by now or never will.
		ce.finish(now, Declined, Outcome{Role: ev.Role})
	}
}

// finish ends the order and releases the lease.
func (ce *Cell) finish(now clock.Millis, reason Reason, oc Outcome) {
	ao := ce.current
	ce.current = nil
	if ao.drained {
		ce.emit(Drain{Server: ao.server, Stop: false})
	}
	ce.emit(WantLease{Hold: false})
	ce.token = 0 // the next order must wait for a new LeaseHeld
	if ao.id != "" {
		ce.finishOperatorOrder(ao, reason, oc)
		return
	}
	// An abandoned change counts like a completed one: the load must require a change
	// for the whole time again.
	ce.lastChangeAt = now
	ce.trend.since = now
	if reason == CarriedOut {
		ce.recordRole(now, ao.server, oc)
		ce.logEvent(event.RoleChanged, event.F("Server", ao.server), event.F("To", ao.order.Role), event.F("Token", ao.order.Fence))
		return
	}
	ce.logEvent(event.RoleChangeAbandoned, append([]event.Field{
		event.F("Server", ao.server), event.F("To", ao.order.Role),
		event.F("Reason", reason), event.F("Decline", declineOf(oc)),
	}, ce.trend.fields(now)...)...)
}

func (ce *Cell) finishOperatorOrder(ao *activeOrder, reason Reason, oc Outcome) {
	ev := event.OrderGiven
	if reason != CarriedOut {
		ev = event.OrderFailed
	}
	ce.logEvent(ev, event.F("Server", ao.server), event.F("Kind", ao.order.Kind), event.F("Of", ao.order.Name), event.F("Reason", reason))
	ce.emit(OperatorReply{ID: ao.id, Reason: reason, Outcome: oc})
}

func declineOf(oc Outcome) backend.Reason { return oc.Decline }

// recordRole stores the role from the engine's reply before its next report arrives.
func (ce *Cell) recordRole(now clock.Millis, server string, oc Outcome) {
	for ix := range ce.observed.Engines {
		if eng := &ce.observed.Engines[ix]; eng.ID == server && oc.Role != "" {
			eng.Role, eng.RoleAt = oc.Role, now
		}
	}
}
