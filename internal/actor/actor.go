// Package actor runs one decision package in one goroutine: it passes events
// to the package and executes the returned intents in order. A decision package
// does no I/O: its Step function turns an event into the intents to carry out.
// Decision packages have no locks, so only their actor may call them.
//
// # Usage
//
//	ac := actor.New[membership.Event, membership.Intent](clk, membership.Tick{}, 100)
//	ac.Step = detector.Step
//	ac.Execute = execute
//	ac.WakeTime = actor.WakeTimeFunc[membership.Intent](func(wk membership.Wake) clock.Millis { return wk.At })
//	go ac.Run(ctx)
//	ac.Send(ctx, membership.Leave{})
package actor

import (
	"context"
	"time"

	"alderdyke/pkg/clock"
)

// maxQueuedEvents bounds the events queued for one decision loop. Senders block
// while the queue is full, which gives them the backpressure that they need.
const maxQueuedEvents = 256

// Actor is one decision loop. Create it with [New] and set Step, Execute and
// WakeTime before Run.
type Actor[Event, Intent any] struct {
	// Step processes one event and returns the resulting intents.
	Step func(now clock.Millis, ev Event) []Intent
	// Execute carries out one intent.
	Execute func(in Intent)
	// WakeTime reports whether an intent only requests a tick, and at what time.
	WakeTime func(in Intent) (clock.Millis, bool)
	// Events accepts events from senders that must not block, by a non-blocking
	// send; other senders use Send.
	Events chan Event

	clk          clock.Source
	tick         Event
	tickInterval clock.Millis // longest time between two ticks
	nextTick     clock.Millis
}

// New creates an actor that receives the tick event at least once per interval.
func New[Event, Intent any](clk clock.Source, tick Event, interval clock.Millis) *Actor[Event, Intent] {
	return &Actor[Event, Intent]{
		clk:          clk,
		tick:         tick,
		tickInterval: interval,
		Events:       make(chan Event, maxQueuedEvents),
	}
}

// Send queues an event for the decision loop and blocks while the queue is full.
// It reports false if the context ended first.
func (ac *Actor[Event, Intent]) Send(ctx context.Context, ev Event) bool {
	select {
	case ac.Events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run processes events and ticks until the context ends.
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

// WakeTimeFunc returns a WakeTime function for decision packages that request a
// tick with an intent of type Wake; at returns the time of the requested tick.
func WakeTimeFunc[Intent, Wake any](at func(wk Wake) clock.Millis) func(in Intent) (clock.Millis, bool) {
	return func(in Intent) (clock.Millis, bool) {
		wk, ok := any(in).(Wake)
		if !ok {
			return 0, false
		}
		return at(wk), true
	}
}
