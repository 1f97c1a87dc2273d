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
	// Cell decides for one cell. Set the exported fields before the first
	// Step. It has a single owner.
	Cell struct {
		Settings Settings

		started bool
		seen    Observed
		trend   trend
		changed clock.Millis // when the last change of role ended, or this VM began
		turned  board.Role   // that the last change was to
		token   uint64       // of the lease; zero if it is not held
		heldAt  clock.Millis // when it was first held without a gap
		waiting []Give
		now     *change // under way; nil if none is
		out     []Intent

		broken guards // removed by tests, to see that they are missed
	}

	// guards that tests remove. The zero value removes none.
	guards struct {
		noDwell, noWindow, noLeast, noSettle, noFence, noDrain, noDoubt bool
	}
)

// Step takes one event and returns what is to be done, in order. Points of
// successive steps never go back.
func (ce *Cell) Step(now clock.Millis, ev Event) []Intent {
	if !ce.started {
		ce.started = true
		ce.Settings = ce.Settings.withDefaults()
		ce.changed = now
	}
	ce.out = nil
	switch ev := ev.(type) {
	case Observed:
		ce.seen = ev
		ce.trend.take(now, ce.Settings, ev)
	case Held:
		if ce.token == 0 {
			ce.heldAt = now
		}
		ce.token = ev.Token
	case Lapsed:
		ce.token = 0
	case Inspected:
		ce.inspected(now, ev)
	case Sent:
		ce.sent(now, ev)
	case Give:
		ce.give(ev)
	case Tick:
	}
	if ce.now == nil {
		ce.begin(now)
	}
	ce.move(now)
	return ce.out
}

func (ce *Cell) emit(in Intent) { ce.out = append(ce.out, in) }

func (ce *Cell) note(ev event.Event, fields ...event.Field) {
	ce.emit(Note{Event: ev, Fields: fields})
}

// give queues an operator's order.
func (ce *Cell) give(gv Give) {
	if _, ok := ce.engine(gv.Server); !ok {
		ce.emit(Answer{ID: gv.ID, Reason: UnknownNow})
		return
	}
	if len(ce.waiting) >= waitingBound {
		ce.emit(Answer{ID: gv.ID, Reason: TooMany})
		return
	}
	ce.waiting = append(ce.waiting, gv)
}

// begin starts the next order: one of an operator, or a change of role that
// the load calls for.
func (ce *Cell) begin(now clock.Millis) {
	if len(ce.waiting) > 0 {
		gv := ce.waiting[0]
		ce.waiting = ce.waiting[1:]
		ce.now = &change{id: gv.ID, server: gv.Server, order: gv.Order, phase: asking, since: now}
		ce.emit(Want{Hold: true})
		return
	}
	if ce.Settings.Off {
		return
	}
	toward := ce.trend.calls(now, ce.Settings)
	if ce.broken.noWindow {
		toward = ce.trend.toward
	}
	if toward == "" || now-ce.changed < ce.dwell(toward) {
		return
	}
	ce.now = &change{order: engine.Order{Kind: engine.ChangeRole, Role: toward}, phase: asking, since: now}
	ce.emit(Want{Hold: true})
}

// dwell is the span that must have passed since the last change. A change
// that takes the last one back waits longer: the load may be swinging.
func (ce *Cell) dwell(toward board.Role) clock.Millis {
	switch {
	case ce.broken.noDwell:
		return 0
	case ce.turned != "" && ce.turned != toward:
		return backDwells * ce.Settings.Dwell
	default:
		return ce.Settings.Dwell
	}
}

// pick chooses the engine that changes to a role: the fit one of the other
// role with the least work. It must leave enough behind.
func (ce *Cell) pick(toward board.Role) (Engine, bool) {
	from := other(toward)
	if !ce.maySpare(from) {
		return Engine{}, false
	}
	var fit []Engine
	for _, eng := range ce.seen.Engines {
		if eng.Fit && eng.Role == from {
			fit = append(fit, eng)
		}
	}
	if len(fit) == 0 {
		return Engine{}, false
	}
	return slices.MinFunc(fit, func(ea, eb Engine) int {
		return cmp.Or(cmp.Compare(ea.Work+ea.Running+ea.Queued, eb.Work+eb.Running+eb.Queued), cmp.Compare(ea.ID, eb.ID))
	}), true
}

// maySpare tells whether a role keeps enough fit engines when one leaves it.
func (ce *Cell) maySpare(role board.Role) bool {
	return poolsOf(ce.seen.Engines).of(role) > ce.Settings.Least || ce.broken.noLeast
}

func (ce *Cell) engine(id string) (Engine, bool) {
	for _, eng := range ce.seen.Engines {
		if eng.ID == id {
			return eng, true
		}
	}
	return Engine{}, false
}

// settledFrom is the point from which on no order of another holder can
// change an engine.
func (ce *Cell) settledFrom() clock.Millis {
	for _, eng := range ce.seen.Engines {
		if !eng.ChecksFencing {
			return ce.heldAt + ce.Settings.Flight
		}
	}
	return ce.heldAt
}

// settled tells whether every fit engine has said its role late enough.
func (ce *Cell) settled() bool {
	if ce.broken.noSettle {
		return true
	}
	from := ce.settledFrom()
	for _, eng := range ce.seen.Engines {
		if eng.Fit && (eng.Role == "" || eng.RoleAt < from) {
			return false
		}
	}
	return true
}
