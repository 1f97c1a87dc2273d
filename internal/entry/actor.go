package entry

import (
	"context"
	"time"

	"alderdyke/pkg/clock"
)

// actorBacklog bounds the events that wait for one decision loop. A full
// backlog makes senders wait, which is the backpressure that they need.
const actorBacklog = 256

type (
	// actor runs one decision package in one goroutine: events go in, the
	// intents that come back are carried out in order. A decision package
	// has no locks, so only its actor may touch it.
	actor[Event, Intent any] struct {
		clk    clock.Source
		step   func(now clock.Millis, ev Event) []Intent
		do     func(in Intent)
		wakeAt func(in Intent) (clock.Millis, bool)
		tick   Event
		every  clock.Millis // longest span between two ticks
		events chan Event
		next   clock.Millis
	}
)

func newActor[Event, Intent any](clk clock.Source, tick Event, every clock.Millis) *actor[Event, Intent] {
	return &actor[Event, Intent]{
		clk:    clk,
		tick:   tick,
		every:  every,
		events: make(chan Event, actorBacklog),
	}
}

// tell hands an event to the decision loop. It reports false if the context
// ended first.
func (ac *actor[Event, Intent]) tell(ctx context.Context, ev Event) bool {
	select {
	case ac.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// run decides until the context ends.
func (ac *actor[Event, Intent]) run(ctx context.Context) {
	ac.next = ac.clk.Now() + ac.every
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, (ac.next - ac.clk.Now()).Std()))
		select {
		case <-ctx.Done():
			return
		case ev := <-ac.events:
			ac.decide(ev)
		case <-timer.C:
			ac.next = ac.clk.Now() + ac.every
			ac.decide(ac.tick)
		}
	}
}

func (ac *actor[Event, Intent]) decide(ev Event) {
	for _, in := range ac.step(ac.clk.Now(), ev) {
		if at, ok := ac.wakeAt(in); ok {
			ac.next = min(ac.next, at)
			continue
		}
		ac.do(in)
	}
}

// wakeOf makes the wakeAt of an actor whose decisions ask for a tick with an
// intent of the type Wake.
func wakeOf[Intent, Wake any](at func(wk Wake) clock.Millis) func(in Intent) (clock.Millis, bool) {
	return func(in Intent) (clock.Millis, bool) {
		wk, ok := any(in).(Wake)
		if !ok {
			return 0, false
		}
		return at(wk), true
	}
}
