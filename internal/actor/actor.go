// Package actor runs one decision package in one goroutine: events go in, and
// the intents that come back are carried out in order. A decision package has
// no locks, so only its actor may touch it.
//
// # Usage
//
//	ac := actor.New[membership.Event, membership.Intent](clk, membership.Tick{}, 100)
//	ac.Step = detector.Step
//	ac.Execute = carryOut
//	ac.WakeTime = actor.WakeTimeFunc[membership.Intent](func(wk membership.Wake) clock.Millis { return wk.At })
//	go ac.Run(ctx)
//	ac.Send(ctx, membership.Leave{})
package actor

import (
	"context"
	"time"

	"alderdyke/pkg/clock"
)

// maxQueuedEvents bounds the events that wait for one decision loop. A full queue
// makes senders wait, which is the backpressure that they need.
const maxQueuedEvents = 256

// Actor is one decision loop. Make it with [New] and set Step, Execute and WakeTime
// before Run.
type Actor[Event, Intent any] struct {
	// Step decides.
	Step func(now clock.Millis, ev Event) []Intent
	// Execute carries out one intent.
	Execute func(in Intent)
	// WakeTime tells whether an intent only asks for a tick, and for when.
	WakeTime func(in Intent) (clock.Millis, bool)
	// Events takes events from senders that must not wait; others use Send.
	Events chan Event

	clk          clock.Source
	tick         Event
	tickInterval clock.Millis // longest span between two ticks
	nextTick     clock.Millis
}

// New makes an actor that is told the tick at least once in each span.
func New[Event, Intent any](clk clock.Source, tick Event, every clock.Millis) *Actor[Event, Intent] {
	return &Actor[Event, Intent]{
		clk:          clk,
		tick:         tick,
		tickInterval: every,
		Events:       make(chan Event, maxQueuedEvents),
	}
}

// Send hands an event to the decision loop. It reports false if the context
// ended first.
func (ac *Actor[Event, Intent]) Send(ctx context.Context, ev Event) bool {
	select {
	case ac.Events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run decides until the context ends.
func (ac *Actor[Event, Intent]) Run(ctx context.Context) {
	ac.nextTick = ac.clk.Now() + ac.tickInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, (ac.nextTick - ac.clk.Now()).Std()))
		select {
		case <-ctx.Done():
			return
		case ev := <-ac.Events:
			ac.decide(ev)
		case <-timer.C:
			ac.nextTick = ac.clk.Now() + ac.tickInterval
			ac.decide(ac.tick)
		}
	}
}

func (ac *Actor[Event, Intent]) decide(ev Event) {
	for _, in := range ac.Step(ac.clk.Now(), ev) {
		if at, ok := ac.WakeTime(in); ok {
			ac.nextTick = min(ac.nextTick, at)
			continue
		}
		ac.Execute(in)
	}
}

// WakeTimeFunc makes the WakeTime of an actor whose decisions ask for a tick with an
// intent of the type Wake.
func WakeTimeFunc[Intent, Wake any](at func(wk Wake) clock.Millis) func(in Intent) (clock.Millis, bool) {
	return func(in Intent) (clock.Millis, bool) {
		wk, ok := any(in).(Wake)
		if !ok {
			return 0, false
		}
		return at(wk), true
	}
}
