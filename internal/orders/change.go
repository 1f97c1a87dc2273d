package orders

import (
	"alderdyke/internal/backend"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

// Phases of an order, as the package comment tells them.
const (
	asking phase = iota
	settling
	fencing
	choosing
	draining
	sending
	doubting
)

type (
	phase int

	// change is the order that is under way.
	change struct {
		id     string // of an operator's order; empty for a change of role
		server string // empty until it is chosen
		order  engine.Order
		phase  phase
		since  clock.Millis // when the phase began

		drained   bool            // the engine gets no new work
		lease     clock.Millis    // since when the lease is held that the order is given under
		unfenced  map[string]bool // engines that do not know the token yet
		idleSince clock.Millis
		inspectAt clock.Millis // of the next Inspect
		sentAt    clock.Millis
		tries     int
	}
)

func (ce *Cell) enter(now clock.Millis, ph phase) {
	ce.now.phase, ce.now.since = ph, now
}

// move goes on with the order under way as far as it can.
func (ce *Cell) move(now clock.Millis) {
	for ce.now != nil {
		ch, ph := ce.now, ce.now.phase
		ce.moveOnce(now)
		if ce.now != ch || ch.phase == ph {
			return
		}
	}
}

func (ce *Cell) moveOnce(now clock.Millis) {
	ch := ce.now
	if ch.phase < sending && ch.phase != asking && !ce.holds(ch) {
		ce.end(now, LeaseLost, Outcome{})
		return
	}
	switch ch.phase {
	case asking:
		switch {
		case ce.token != 0:
			ch.lease = ce.heldAt
			ce.enter(now, settling)
		case now-ch.since >= ce.Settings.LeaseWithin:
			ce.end(now, NoLease, Outcome{})
		}
	case settling:
		ce.settle(now)
	case fencing, sending: // until Sent
	case choosing:
		ce.choose(now)
	case draining:
		ce.drain(now)
	case doubting:
		ce.doubt(now)
	}
}

// holds tells whether the lease has been held since the order was begun.
// Renewals change its token and leave it the same lease.
func (ce *Cell) holds(ch *change) bool { return ce.token != 0 && ce.heldAt == ch.lease }

// settle waits until the roles of all engines are certain.
func (ce *Cell) settle(now clock.Millis) {
	ch := ce.now
	switch {
	case ch.id != "" && now >= ce.settledFrom():
		ce.send(now)
	case ch.id == "" && ce.settled():
		ce.fence(now)
	case now-ch.since >= ce.Settings.LeaseWithin+ce.Settings.Flight:
		ce.end(now, NotSettled, Outcome{})
	}
}

// fence tells the token to all engines that check it: an order of the holder
// before to another engine than the one that is changed now must be refused
// too, or the old role could lose both.
func (ce *Cell) fence(now clock.Millis) {
	ch := ce.now
	ch.order.Fence = ce.token
	ch.unfenced = make(map[string]bool)
	for _, eng := range ce.seen.Engines {
		if eng.Fit && eng.ChecksFencing && !ce.broken.noFence {
			ch.unfenced[eng.ID] = true
			ce.emit(Send{Server: eng.ID, Order: engine.Order{Kind: engine.ChangeRole, Role: eng.Role, Fence: ce.token}})
		}
	}
	ce.enter(now, fencing)
	if len(ch.unfenced) == 0 {
		ce.enter(now, choosing)
	}
}

func (ce *Cell) fenced(now clock.Millis, ev Sent) {
	ch := ce.now
	if !ch.unfenced[ev.Server] {
		return
	}
	if ev.Outcome.Reason != CarriedOut {
		ce.end(now, NotSettled, ev.Outcome)
		return
	}
	ce.take(now, ev.Server, ev.Outcome)
	delete(ch.unfenced, ev.Server)
	if len(ch.unfenced) == 0 && ce.holds(ch) {
		ce.enter(now, choosing)
	}
}

// choose picks the engine with what is known now: the load may have turned,
// or the holder before may have changed a role already. A load close to its
// bound is let come back, since a change that is given up costs a dwell.
func (ce *Cell) choose(now clock.Millis) {
	ch := ce.now
	if ce.trend.toward != ch.order.Role {
		if now-ch.since >= ce.Settings.NeedWithin {
			ce.end(now, NotNeeded, Outcome{})
		}
		return
	}
	eng, ok := ce.pick(ch.order.Role)
	if !ok {
		ce.end(now, TooFew, Outcome{})
		return
	}
	ch.server = eng.ID
	ch.drained = true
	ch.inspectAt = now
	ce.enter(now, draining)
	ce.emit(Drain{Server: eng.ID, Stop: true})
	ce.note(event.RoleChangeBegun, event.F("Server", eng.ID), event.F("To", ch.order.Role), event.F("Work", eng.Work))
}

// drain waits until the engine has ended its work.
func (ce *Cell) drain(now clock.Millis) {
	ch := ce.now
	eng, ok := ce.engine(ch.server)
	switch {
	case !ok || !eng.Fit || eng.Role != other(ch.order.Role):
		ce.end(now, NotNeeded, Outcome{})
	case !ce.maySpare(eng.Role):
		ce.end(now, TooFew, Outcome{})
	case ce.broken.noDrain:
		ce.send(now)
	case now-ch.since >= ce.Settings.DrainWithin:
		ce.end(now, NotDrained, Outcome{})
	case eng.Work > 0:
		ch.idleSince = 0
	default:
		if ch.idleSince == 0 {
			ch.idleSince = now
		}
		ce.inspect(now)
	}
}

func (ce *Cell) inspect(now clock.Millis) {
	if now >= ce.now.inspectAt {
		ce.now.inspectAt = now + inspectEvery
		ce.emit(Inspect{Server: ce.now.server})
	}
}

// inspected takes an engine's own word on what it runs and on its role.
func (ce *Cell) inspected(now clock.Millis, ev Inspected) {
	ch := ce.now
	if ch == nil || ch.server != ev.Server || ev.Failed {
		return
	}
	switch ch.phase {
	case draining:
		eng, ok := ce.engine(ch.server)
		if ok && ev.Runs == 0 && eng.Work == 0 && ch.idleSince != 0 && ev.Asked >= ch.idleSince &&
			ce.holds(ch) && ev.Role == eng.Role && ce.maySpare(eng.Role) {
			ce.send(now)
		}
	case doubting:
		ce.settleDoubt(now, ev)
	}
}

// send gives the order with the token of the lease that is held now.
func (ce *Cell) send(now clock.Millis) {
	ch := ce.now
	eng, ok := ce.engine(ch.server)
	if !ok {
		ce.end(now, UnknownNow, Outcome{})
		return
	}
	// A repeat carries the fencing token that the order first had.
	if ch.order.Fence == 0 {
		ch.order.Fence = ce.token
	}
	ch.tries++
	ch.sentAt = now
	sd := Send{Server: ch.server, Order: ch.order}
	if !eng.ChecksFencing {
		sd.Margin = ce.Settings.Margin
	}
	ce.enter(now, sending)
	ce.emit(sd)
}

// sent takes the outcome of an order.
func (ce *Cell) sent(now clock.Millis, ev Sent) {
	ch := ce.now
	switch {
	case ch == nil:
		return
	case ch.phase == fencing:
		ce.fenced(now, ev)
		return
	case ch.phase != sending || ch.server != ev.Server:
		return
	}
	switch ev.Outcome.Reason {
	case CarriedOut:
		ce.end(now, CarriedOut, ev.Outcome)
	case InDoubt:
		if ce.broken.noDoubt {
			ce.end(now, InDoubt, ev.Outcome)
			return
		}
		ce.note(event.OrderDoubted, event.F("Server", ch.server), event.F("Kind", ch.order.Kind), event.F("Token", ch.order.Fence))
		ch.inspectAt = now
		ce.enter(now, doubting)
	case LeaseLost:
		ce.note(event.OrderWithheld, event.F("Server", ch.server), event.F("Token", ch.order.Fence))
		ce.endUnsent(now, LeaseLost, ev.Outcome)
	case Fenced:
		ce.note(event.OrderFenced, event.F("Server", ch.server), event.F("Token", ch.order.Fence))
		ce.endUnsent(now, Fenced, ev.Outcome)
	default:
		if ce.again() && ev.Outcome.Decline == "" {
			ce.send(now) // not sent at all
			return
		}
		ce.endUnsent(now, Declined, ev.Outcome)
	}
}

// endUnsent ends an order whose last sending had no effect. If an earlier one
// is in doubt still, so is the order.
func (ce *Cell) endUnsent(now clock.Millis, reason Reason, oc Outcome) {
	if ce.now.tries > 1 && !ce.broken.noDoubt {
		ce.enter(now, doubting)
		ce.now.tries = sendTries
		return
	}
	ce.end(now, reason, oc)
}

// again tells whether the same order may go out once more: under the lease
// that it was given with, whose token it carries.
func (ce *Cell) again() bool {
	return ce.now.tries < sendTries && ce.holds(ce.now)
}

// doubt asks the engine until its report settles the matter.
func (ce *Cell) doubt(now clock.Millis) {
	ch := ce.now
	if ch.order.Kind != engine.ChangeRole {
		// Reports do not name what is loaded; the reply to the same order
		// does.
		if ce.again() {
			ce.send(now)
		} else {
			ce.end(now, InDoubt, Outcome{})
		}
		return
	}
	if eng, ok := ce.engine(ch.server); !ok {
		ce.end(now, InDoubt, Outcome{Role: eng.Role}) // the engine is gone, and with it the doubt
		return
	}
	ce.inspect(now)
}

// settleDoubt compares the engine's role, as it was after the order was sent,
// with the one that it was ordered to take.
func (ce *Cell) settleDoubt(now clock.Millis, ev Inspected) {
	ch := ce.now
	switch {
	case ch.order.Kind != engine.ChangeRole || ev.RoleAt < ch.sentAt || ev.Role == "":
	case ev.Role == ch.order.Role:
		ce.end(now, CarriedOut, Outcome{Role: ev.Role, Repeated: true})
	case ce.again():
		ce.send(now)
	case ev.RoleAt >= ch.sentAt+ce.Settings.Flight:
		// Whatever was under way has arrived or never will.
		ce.end(now, Declined, Outcome{Role: ev.Role})
	}
}

// end closes the order and gives the lease back.
func (ce *Cell) end(now clock.Millis, reason Reason, oc Outcome) {
	ch := ce.now
	ce.now = nil
	if ch.drained {
		ce.emit(Drain{Server: ch.server, Stop: false})
	}
	ce.emit(Want{Hold: false})
	ce.token = 0 // whatever comes next waits to be told of a lease again
	if ch.id != "" {
		ce.endGiven(ch, reason, oc)
		return
	}
	// A change that was given up counts like one that was made: the load
	// that called for it is waited for anew.
	ce.changed = now
	ce.trend.since = now
	if reason == CarriedOut {
		ce.take(now, ch.server, oc)
		ce.note(event.RoleChanged, event.F("Server", ch.server), event.F("To", ch.order.Role), event.F("Token", ch.order.Fence))
		return
	}
	ce.note(event.RoleChangeAbandoned, append([]event.Field{
		event.F("Server", ch.server), event.F("To", ch.order.Role),
		event.F("Reason", reason), event.F("Decline", declineOf(oc)),
	}, ce.trend.fields(now)...)...)
}

func (ce *Cell) endGiven(ch *change, reason Reason, oc Outcome) {
	ev := event.OrderGiven
	if reason != CarriedOut {
		ev = event.OrderFailed
	}
	ce.note(ev, event.F("Server", ch.server), event.F("Kind", ch.order.Kind), event.F("Of", ch.order.Name), event.F("Reason", reason))
	ce.emit(Answer{ID: ch.id, Reason: reason, State: oc})
}

func declineOf(oc Outcome) backend.Reason { return oc.Decline }

// take notes the role that the engine's reply tells, ahead of its report.
func (ce *Cell) take(now clock.Millis, server string, oc Outcome) {
	for ix := range ce.seen.Engines {
		if eng := &ce.seen.Engines[ix]; eng.ID == server && oc.Role != "" {
			eng.Role, eng.RoleAt = oc.Role, now
		}
	}
}
