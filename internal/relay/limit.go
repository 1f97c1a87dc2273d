package relay

import (
	"context"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/internal/limit"
	"alderdyke/pkg/clock"
)

func limitedServer(bs board.BackendServer) limit.Server {
	return limit.Server{ID: bs.ID, Incarnation: bs.Incarnation}
}

// observeLimit records what an answer says of its server's limit, and notifies the other
// VMs if they may not know it.
func (rl *Relay) observeLimit(st Statement) {
	if st.LimitError != nil {
		rl.Log.Log(event.ServerLimitUnreadable, event.F("Server", st.Server.ID), event.F("Error", st.LimitError.Error()))
		return
	}
	now := rl.now()
	nt, ch := rl.limits.Observe(now, st.SentAt, limitedServer(st.Server), st.Limit)
	if nt != nil && rl.SendLimit != nil {
		rl.SendLimit(*nt)
	}
	rl.applyLimit(now, ch, "")
}

// ReceiveLimit records another VM's notice of a server's limit.
func (rl *Relay) ReceiveLimit(vm string, nt limit.Notice) {
	now := rl.now()
	rl.applyLimit(now, rl.limits.Receive(now, nt), vm)
}

// applyLimit logs a change of a server's limit, by the VM that observed it, and reports
// the calls that were made before a limit was known. Nil changes nothing.
func (rl *Relay) applyLimit(now clock.Millis, ch *limit.Change, by string) {
	if ch == nil {
		return
	}
	rl.logLimit(*ch, by)
	if rate, ok := rl.limits.Rate(now, ch.Server.ID); ok && !ch.Known && rl.Permits != nil {
		rl.Permits.ReportCalls(ch.Server.ID, rate, rl.limits.RecentCalls(now, ch.Server.ID))
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.initialize()
	if bs, listed := rl.Backends().Server(ch.Server.ID); listed && bs.Role != board.Plain {
		rl.poolOf(bs.Service).Limit(now, bs.ID, 0) // a denial under the earlier limit no longer counts
		rl.wakeWaiters()
	}
}

// logLimit logs a change of a server's limit.
func (rl *Relay) logLimit(ch limit.Change, by string) {
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

// LimitsInForce returns notices of the limits that are in force, for a VM that starts.
func (rl *Relay) LimitsInForce() []limit.Notice { return rl.limits.InForce(rl.now()) }

// awaitOthers waits until this VM has heard from another one what it can't know itself when it
// starts, or the request ends. Each VM that starts would otherwise call a server with a limit near
// zero without a permit, and several of them exceed it; or choose a server that left, and whose
// entry the store lists again.
func (rl *Relay) awaitOthers(ctx context.Context) {
	if rl.LimitsKnown == nil {
		return
	}
	select {
	case <-rl.LimitsKnown:
	case <-ctx.Done():
	}
}

// ServerLimit returns the calls per second that a server takes from all VMs together, or
// false if it has no limit.
func (rl *Relay) ServerLimit(server string) (float64, bool) { return rl.limits.Rate(rl.now(), server) }

// HasServerLimits reports whether any server limits its calls. It is called regularly,
// and drops limits that no longer hold.
func (rl *Relay) HasServerLimits() bool {
	bk := rl.Backends()
	lapsed, active := rl.limits.Lapse(rl.now(), func(server limit.Server) bool {
		if len(bk.Servers) == 0 {
			return true // this VM has started, and hears of limits before it knows the servers
		}
		bs, listed := bk.Server(server.ID)
		return listed && limitedServer(bs) == server
	})
	for _, ch := range lapsed {
		rl.logLimit(ch, "")
	}
	return active
}
