package relay

import (
	"alderdyke/internal/balance"
	"alderdyke/internal/board"
	"alderdyke/internal/limit"
	"alderdyke/pkg/clock"
)

// Statement is what an answer says of the server that sent it, besides answering the
// call.
type Statement struct {
	Server     board.BackendServer
	SentAt     clock.Millis      // when the call was sent
	Leaving    bool              // the server announces that it leaves
	RetryAfter clock.Millis      // for which the server wants to get no calls; zero: it asks for no pause
	Load       *balance.Load     // nil: not reported
	Limit      limit.Observation // of the calls that the server takes from all VMs together
	LimitError error             // why the limit can't be read
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
