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
	SentAt     clock.Millis      // when the call was sent
	Leaving    bool              // the server announces that it leaves
	RetryAfter clock.Millis      // for which the server wants to get no calls; zero: it asks for no pause
	Load       *balance.Load     // nil: not reported
	LoadError  error             // why the load, or its last figure, can't be read
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
	rl.observeLoad(st)
	rl.observeLimit(st)
}

// observeLoad logs the first load of a server that can't be read; the rest of the answer
// is used.
func (rl *Relay) observeLoad(st Statement) {
	if st.LoadError == nil {
		return
	}
	rl.mu.Lock()
	_, logged := rl.unreadableLoads[st.Server.ID]
	if !logged {
		if rl.unreadableLoads == nil {
			rl.unreadableLoads = make(map[string]struct{})
		}
		rl.unreadableLoads[st.Server.ID] = struct{}{}
	}
	rl.mu.Unlock()
	if !logged {
		rl.Log.Log(event.ServerLoadUnreadable, event.F("Server", st.Server.ID), event.F("Error", st.LoadError.Error()))
	}
}
