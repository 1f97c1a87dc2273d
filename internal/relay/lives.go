package relay

import (
	"context"
	"errors"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
)

// errServerRestarted ends the calls to a server that has since restarted.
var errServerRestarted = errors.New("the server has started again and knows nothing of the call")

// call is a call to a backend server that may take long: a run, an attempt at a plain
// service, a prefill.
type call struct {
	server board.BackendServer
	cancel context.CancelCauseFunc
}

// beginCall creates a context for a call to a server. The context ends when another
// incarnation of the server is listed, because a restarted server has dropped the
// call and its connection may stay silent indefinitely. The returned function ends
// the call. The request's body counts as in flight to the server until then.
func (rl *Relay) beginCall(ctx context.Context, ex *exchange, bs board.BackendServer) (context.Context, context.CancelFunc) {
	within, cancel := context.WithCancelCause(ctx)
	cl := &call{server: bs, cancel: cancel}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.calls[cl] = struct{}{}
	rl.takeClaim(ex, bs.ID)
	return within, func() {
		rl.mu.Lock()
		if _, open := rl.calls[cl]; open {
			delete(rl.calls, cl)
			rl.releaseBody(ex, bs.ID)
		}
		rl.mu.Unlock()
		cancel(context.Canceled)
	}
}

// cancelCallsToRestarted cancels the calls to servers that have restarted, and counts
// them by server. The lock is held.
func (rl *Relay) cancelCallsToRestarted(bk *board.Backends) map[string]int {
	ended := make(map[string]int)
	for cl := range rl.calls {
		if bk.Restarted(cl.server) {
			cl.cancel(errServerRestarted)
			ended[cl.server.ID]++
		}
	}
	return ended
}

// recordRestarts logs how many calls ended because their servers restarted.
func (rl *Relay) recordRestarts(ended map[string]int) {
	for server, calls := range ended {
		rl.count("Reborn", nil)
		rl.Log.Log(event.RelayServerReborn, event.F("Server", server), event.F("Calls", calls))
	}
}
