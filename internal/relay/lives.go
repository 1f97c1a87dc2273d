package relay

import (
	"context"
	"errors"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
)

// errServerRestarted ends the calls at a server that has started again since.
var errServerRestarted = errors.New("the server has started again and knows nothing of the call")

// call is one call at a backend server that may last: a run, an attempt at a
// plain service, a prefill.
type call struct {
	server board.BackendServer
	cancel context.CancelCauseFunc
}

// beginCall makes a context for a call at a server, which ends when another life
// of the server is listed: the server then works on nothing of before, and its
// connection may stay silent for good. The function ends the call.
func (rl *Relay) beginCall(ctx context.Context, bs board.BackendServer) (context.Context, context.CancelFunc) {
	within, cancel := context.WithCancelCause(ctx)
	cl := &call{server: bs, cancel: cancel}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.calls[cl] = struct{}{}
	return within, func() {
		rl.mu.Lock()
		delete(rl.calls, cl)
		rl.mu.Unlock()
		cancel(context.Canceled)
	}
}

// dropPreviousInstances ends the calls at servers that started again, and counts them by
// server. The lock is held.
func (rl *Relay) dropPreviousInstances(bk *board.Backends) map[string]int {
	ended := make(map[string]int)
	for cl := range rl.calls {
		if bk.Restarted(cl.server) {
			cl.cancel(errServerRestarted)
			ended[cl.server.ID]++
		}
	}
	return ended
}

// recordRestarts tells how many calls ended with the lives of their servers.
func (rl *Relay) recordRestarts(ended map[string]int) {
	for server, calls := range ended {
		rl.count("Reborn", nil)
		rl.Log.Log(event.RelayServerReborn, event.F("Server", server), event.F("Calls", calls))
	}
}
