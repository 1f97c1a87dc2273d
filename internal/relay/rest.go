package relay

import (
	"context"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/pool"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// maxBackOff bounds the pause that a server can ask for.
const maxBackOff = 5 * clock.Minute

// backOff stops calls to a server for as long as it asked for. A call that it would
// decline costs the caller an attempt, the fleet a retry, and the server time to recover.
func (rl *Relay) backOff(bs board.BackendServer, span clock.Millis) {
	span = min(span, maxBackOff)
	rl.mu.Lock()
	rl.initialize()
	now := rl.now()
	rl.chooser.BackOff(now, bs.ID, span)
	if listed, ok := rl.Backends().Server(bs.ID); ok {
		rl.poolOf(listed.Service).BackOff(now, bs.ID, span)
	}
	rl.mu.Unlock()
	rl.count("Rests", nil)
	rl.Log.Log(event.ServerAsksForRest, event.F("Server", bs.ID), event.F("For", span.String()))
}

// refuseIfAllBackOff refuses a request immediately if all decode engines are backing off
// until after the request could stop waiting for a place.
func (rl *Relay) refuseIfAllBackOff(ctx context.Context, ex *exchange, po *pool.Pool, until clock.Millis) error {
	rl.mu.Lock()
	now := rl.now()
	left := po.BackoffLeft(now)
	rl.mu.Unlock()
	if left == 0 || now+left <= until {
		return nil
	}
	return rl.finalRefusal(ctx, ex, refuse(refusal.NoBackend, left, "all decode engines asked for rest"))
}
