package relay

import (
	"context"

	"alderdyke/internal/board"
	"alderdyke/internal/pool"
	"alderdyke/internal/route"
	"alderdyke/pkg/refusal"
)

// bindVersion binds a stream that may be resumed to the software version of the first
// server that is to run it: what two versions write does not fit together.
func (rl *Relay) bindVersion(ex *exchange, bs board.BackendServer) {
	if ex.version != "" || ex.rt.Kind != route.Stream || !ex.rt.Resumable {
		return
	}
	ex.version = bs.Version
}

// refuseIfVersionGone refuses a request immediately if no decode engine of the version
// that it is bound to is left.
func (rl *Relay) refuseIfVersionGone(ctx context.Context, ex *exchange, po *pool.Pool) error {
	if ex.version == "" {
		return nil
	}
	rl.mu.Lock()
	left := po.HasDecoder(ex.version)
	rl.mu.Unlock()
	if left {
		return nil
	}
	return rl.finalRefusal(ctx, ex, refuse(refusal.VersionGone, rl.randomRetryAfter(), "no server of version "+ex.version+" is left"))
}
