package relay

import (
	"context"

	"alderdyke/internal/pool"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// maxBackOff bounds the pause that a server can ask for.
const maxBackOff = 5 * clock.Minute

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
