package relay

import (
	"context"
	"slices"

	"alderdyke/internal/backend"
	"alderdyke/internal/board"
	"alderdyke/internal/event"
	"alderdyke/pkg/clock"
)

const (
	// pathProbeInterval is how often the path to a service that is cut off is checked.
	pathProbeInterval = 250 * clock.Millis(1)
	// crashWitnesses is how many other servers are tried before a refused connection
	// counts as a crash of its server.
	crashWitnesses = 4
)

// observePath records whether a call for a request reached its server. Calls to engines
// that only compute prompts do not count: without them a request can still run, and
// without all others it can't.
func (rl *Relay) observePath(ex *exchange, server string, began clock.Millis, err error) {
	if bs, listed := rl.Backends().Server(server); listed && bs.Role == board.Prefill {
		return
	}
	oc, _ := backend.OutcomeOf(err)
	switch {
	case backend.NotReached(err):
		ex.notReached++
		ex.pathLost = true
		rl.recordMiss(ex.svc.Name, server)
	case oc == backend.Done || oc == backend.Declined:
		ex.pathLost = false
		rl.recordReached(ex.svc.Name, server, began)
	}
}

// recordMiss records that no connection to a server was established. A VM that is cut
// off tells the others nothing bad about the servers.
func (rl *Relay) recordMiss(service, server string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	listed := rl.listedServers(service)
	if !rl.paths.Missed(rl.now(), service, server, len(listed)) {
		return
	}
	rl.Log.Log(event.PathCut, event.F("Service", service), event.F("Server", server), event.F("Servers", len(listed)))
	rl.count("PathCuts", map[string]string{"Service": service})
	for _, bs := range listed {
		rl.ledger.ClearFailed(bs.ID)
	}
	rl.notifyUsageChanged()
	rl.wakeWaiters()
	select {
	case rl.pathCut <- struct{}{}:
	default:
	}
}

// recordReached records that a server answered a call that began at a time.
func (rl *Relay) recordReached(service, server string, began clock.Millis) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !rl.paths.Reached(began, service) {
		return
	}
	rl.Log.Log(event.PathRestored, event.F("Service", service), event.F("Server", server))
	for _, bs := range rl.listedServers(service) {
		rl.poolOf(service).MarkWorking(bs.ID)
	}
	rl.wakeWaiters()
}

// listedServers returns the servers of a service that run requests.
func (rl *Relay) listedServers(service string) []board.BackendServer {
	var out []board.BackendServer
	for _, bs := range rl.Backends().Servers {
		if bs.Service == service && bs.Role != board.Prefill {
			out = append(out, bs)
		}
	}
	return out
}

// isCutOff reports whether this VM reaches no server of a service.
func (rl *Relay) isCutOff(service string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.paths.CutOff(service)
}

// WatchPaths checks the paths to services that are cut off until the context ends.
func (rl *Relay) WatchPaths(ctx context.Context) {
	rl.mu.Lock()
	rl.initialize()
	cut := rl.pathCut
	rl.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-cut:
		}
		for rl.probePaths(ctx) {
			if !clock.Sleep(ctx, pathProbeInterval) {
				return
			}
		}
	}
}

// probePaths tries one server of each service that is cut off, and reports whether some
// service still is.
func (rl *Relay) probePaths(ctx context.Context) bool {
	rl.mu.Lock()
	services := rl.paths.Services()
	rl.mu.Unlock()
	cut := false
	for _, service := range services {
		began := rl.now()
		if bs, ok := rl.randomServer(service, ""); ok && rl.Servers.Reaches(ctx, bs) {
			rl.recordReached(service, bs.ID, began)
		} else {
			cut = true
		}
	}
	return cut
}

// randomServer returns a listed server of a service, except for one.
func (rl *Relay) randomServer(service, except string) (board.BackendServer, bool) {
	list := slices.DeleteFunc(rl.listedServers(service), func(bs board.BackendServer) bool { return bs.ID == except })
	if len(list) == 0 {
		return board.BackendServer{}, false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return list[rl.Rand.IntN(len(list))], true
}

// hasCrashed reports whether a server has crashed: it refuses connections, and another
// one of its service, if there is one, does not. Where all connections are refused, this
// VM may be cut off.
func (rl *Relay) hasCrashed(ctx context.Context, bs board.BackendServer) bool {
	if !rl.Servers.Ended(ctx, bs) {
		return false
	}
	for range crashWitnesses {
		other, ok := rl.randomServer(bs.Service, bs.ID)
		if !ok || rl.Servers.Reaches(ctx, other) {
			return true
		}
	}
	return false
}
