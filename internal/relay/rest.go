package relay

import (
	"context"

	"alderdyke/internal/backend"
	"alderdyke/internal/event"
	"alderdyke/internal/pool"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// applyRetryAfter stops calls to a server for as long as it asked for when it
// declined a call. A call that it would decline costs the caller an attempt, the
// fleet a retry, and the server time to recover.
func (rl *Relay) applyRetryAfter(err error) {
	server, span := backend.RetryAfterOf(err)
	if span <= 0 {
		return
	}
	rl.mu.Lock()
	now := rl.now()
	rl.chooser.BackOff(now, server, span)
	if bs, listed := rl.Backends().Server(server); listed {
		rl.poolOf(bs.Service).BackOff(now, server, span)
	}
	rl.mu.Unlock()
	rl.count("Rests", nil)
	rl.Log.Log(event.ServerAsksForRest, event.F("Server", server), event.F("For", span.String()), event.F("Error", err.Error()))
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
