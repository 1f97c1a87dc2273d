package relay

import (
	"maps"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

// drainingTTL is how long a server's own announcement that it leaves counts while its
// entry does not say so: the server exits within a minute, and its entry may remain
// for as long as the store is unavailable.
const drainingTTL = 10 * clock.Minute

// MarkDraining records that a server announced with one of its answers that it
// leaves. From now on it gets nothing new, whatever its entry says: the store may be
// unavailable when servers leave, and would report it too late.
func (rl *Relay) MarkDraining(id string) {
	if at, listed := rl.Backends().Server(id); !listed || at.Leaving {
		return
	}
	rl.Log.Log(event.ServerSaysLeaving, event.F("Server", id))
	rl.count("Leavers", nil)
	rl.mu.Lock()
	if rl.draining == nil {
		rl.draining = make(map[string]clock.Millis)
	}
	now := rl.now()
	rl.draining[id] = now
	ended := rl.setBackendsLocked(now, rl.Backends().Servers)
	rl.mu.Unlock()
	rl.recordRestarts(ended)
}

// withDraining returns the list with the servers marked that announced that they
// leave. The lock is held.
func (rl *Relay) withDraining(now clock.Millis, list []board.BackendServer) []board.BackendServer {
	maps.DeleteFunc(rl.draining, func(_ string, said clock.Millis) bool { return now >= said+drainingTTL })
	if len(rl.draining) == 0 {
		return list
	}
	out := slices.Clone(list)
	for ix := range out {
		if _, leaves := rl.draining[out[ix].ID]; leaves {
			out[ix].Leaving = true
		}
	}
	return out
}
