package relay

import (
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/limit"
	"alderdyke/pkg/clock"
)

// Statement is what an answer says of the server that sent it, besides answering the
// call.
type Statement struct {
	Server     board.BackendServer
	SentAt     clock.Millis  // when the call was sent
	Leaving    bool          // the server announces that it leaves
	RetryAfter clock.Millis  // for which the server wants to get no calls; zero: it asks for no pause
	Load       *balance.Load // nil: not reported
	Limit      limit.Word    // of the calls that the server takes from all VMs together
	LimitError error         // why the limit can't be read
}

// Observe applies what an answer says of its server. It is called for every answer,
// before the answer itself is used.
func (rl *Relay) Observe(st Statement) {
	if st.Leaving {
		rl.MarkDraining(st.Server.ID)
	}
	if st.RetryAfter > 0 {
		rl.backOff(st.Server, st.RetryAfter)
	}
	rl.observeLimit(st)
}

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
