package relay

import (
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/limit"
)

// observeLimit records what an answer says of its server's limit.
func (rl *Relay) observeLimit(st Statement) {
	if st.LimitError != nil {
		rl.Log.Log(event.ServerLimitUnreadable, event.F("Server", st.Server.ID), event.F("Error", st.LimitError.Error()))
		return
	}
	_, ch := rl.limits.Observe(rl.now(), st.SentAt, limitedServer(st.Server), st.Limit)
	rl.logLimit(ch, "")
}

// logLimit logs a change of a server's limit that another VM was told of, or this one if
// by is empty.
func (rl *Relay) logLimit(ch *limit.Change, by string) {
	if ch == nil {
		return
	}
	rl.count("ServerLimits", nil)
	fields := []event.Field{event.F("Server", ch.Server.ID), event.F("Ended", ch.Ended), event.F("By", by), event.F("Age", ch.Age.String())}
	if !ch.Ended {
		fields = append(fields, event.F("Limit", ch.Rate))
	}
	if ch.Known {
		fields = append(fields, event.F("Before", ch.Before))
	}
	rl.Log.Log(event.ServerLimitChanged, fields...)
}

func limitedServer(bs board.BackendServer) limit.Server {
	return limit.Server{ID: bs.ID, Incarnation: bs.Incarnation}
}
