package orders

import (
	"cmp"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/engine"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

type (
	// Cell decides on the orders of one cell. Set the exported fields before the first
	// Step. A Cell is not safe for concurrent use.
	Cell struct {
		Settings Settings

		started       bool
		observed      Observed // latest observation
		trend         trend
		lastChangeAt  clock.Millis // when the last change of role ended, or the first step took place
		token         uint64       // of the lease; zero if the lease is not held
		heldAt        clock.Millis // start of the current uninterrupted hold of the lease
		operatorQueue []OperatorOrder
		current       *activeOrder // the order in progress; nil if none
		intents       []Intent

		disabled guards // guards that tests disable to show that they are needed
	}

	// guards are the protections that tests can disable. The zero value disables none.
	guards struct {
		noDwell, noWindow, noSpareFor, noMinimum, noSettle, noFence, noDrain, noDoubt bool
		noKeepWait, noDrained                                                         bool
	}
)

// Step processes one event and returns the resulting intents, in order. The time must
// not go back between steps.
func (ce *Cell) Step(now clock.Millis, ev Event) []Intent {
	if !ce.started {
		ce.started = true
		ce.Settings = ce.Settings.withDefaults()
		if ce.disabled.noSpareFor {
			ce.Settings.SpareFor = 0
		}
		ce.lastChangeAt = now
	}
	ce.intents = nil
	switch ev := ev.(type) {
	case Observed:
		ce.observed = ev
		ce.trend.observe(now, ce.Settings, ev)
	case LeaseHeld:
		if ce.token == 0 {
			ce.heldAt = now
		}
		ce.token = ev.Token
	case LeaseLapsed:
		ce.token = 0
	case Drained:
		ce.handleDrained(ev)
	case Inspected:
		ce.handleInspected(now, ev)
	case Sent:
		ce.handleSent(now, ev)
	case OperatorOrder:
		ce.enqueue(ev)
	case Tick:
	}
	if ce.current == nil {
		ce.beginNext(now)
	}
	ce.advance(now)
	return ce.intents
}

func (ce *Cell) emit(in Intent) { ce.intents = append(ce.intents, in) }

func (ce *Cell) logEvent(ev event.Event, fields ...event.Field) {
	ce.emit(LogEvent{Event: ev, Fields: fields})
}

// enqueue queues an operator's order.
func (ce *Cell) enqueue(order OperatorOrder) {
	if _, ok := ce.engineByID(order.Server); !ok {
		ce.emit(OperatorReply{ID: order.ID, Reason: UnknownEngine})
		return
	}
	if len(ce.operatorQueue) >= maxWaiting {
		ce.emit(OperatorReply{ID: order.ID, Reason: TooMany})
		return
	}
	ce.operatorQueue = append(ce.operatorQueue, order)
}

// beginNext starts the next order: an operator's, or a change of role that the load
// requires.
func (ce *Cell) beginNext(now clock.Millis) {
	if len(ce.operatorQueue) > 0 {
		next := ce.operatorQueue[0]
		ce.operatorQueue = ce.operatorQueue[1:]
		ce.current = &activeOrder{id: next.ID, server: next.Server, order: next.Order, phase: awaitingLease, since: now}
		ce.emit(WantLease{Hold: true})
		return
	}
	if ce.Settings.NoRoleChanges {
		return
	}
	toward := ce.trend.roleDue(now, ce.Settings)
	if ce.disabled.noWindow {
		toward = ce.trend.shortRole
	}
	if toward == "" || (now-ce.lastChangeAt < ce.Settings.Dwell && !ce.disabled.noDwell) {
		return
	}
	ce.current = &activeOrder{order: engine.Order{Kind: engine.ChangeRole, Role: toward}, phase: awaitingLease, since: now}
	ce.emit(WantLease{Hold: true})
}

// pickEngine chooses the engine that changes to a role: the usable engine of the other
// role with the least work. The other role must keep enough engines.
func (ce *Cell) pickEngine(toward board.Role) (Engine, bool) {
	from := otherRole(toward)
	if !ce.maySpare(from) {
		return Engine{}, false
	}
	var fit []Engine
	for _, eng := range ce.observed.Engines {
		if eng.Usable && eng.Role == from {
			fit = append(fit, eng)
		}
	}
	if len(fit) == 0 {
		return Engine{}, false
	}
	return slices.MinFunc(fit, func(ea, eb Engine) int {
		return cmp.Or(cmp.Compare(ea.Granted+ea.Running+ea.Queued, eb.Granted+eb.Running+eb.Queued), cmp.Compare(ea.ID, eb.ID))
	}), true
}

// maySpare reports whether a role keeps enough usable engines when one leaves it.
func (ce *Cell) maySpare(role board.Role) bool {
	return poolsOf(ce.observed.Engines).count(role) > ce.Settings.MinEngines || ce.disabled.noMinimum
}

func (ce *Cell) engineByID(id string) (Engine, bool) {
	for _, eng := range ce.observed.Engines {
		if eng.ID == id {
			return eng, true
		}
	}
	return Engine{}, false
}

// settledFrom returns the time from which no order of another holder can change an
// engine.
func (ce *Cell) settledFrom() clock.Millis {
	for _, eng := range ce.observed.Engines {
		if !eng.ChecksFencing {
			return ce.heldAt + ce.Settings.MaxOrderDelay
		}
	}
	return ce.heldAt
}

// settled reports whether every usable engine has reported its role late enough.
func (ce *Cell) settled() bool {
	if ce.disabled.noSettle {
		return true
	}
	from := ce.settledFrom()
	for _, eng := range ce.observed.Engines {
		if eng.Usable && (eng.Role == "" || eng.RoleAt < from) {
			return false
		}
	}
	return true
}
