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
	// pathProbeInterval is how often a service is probed that this VM is partitioned from.
	pathProbeInterval = 250 * clock.Millis(1)
	// maxCrashProbes is how many other servers are tried: if none can be reached, a
	// refused connection does not count as a crash of its server.
	maxCrashProbes = 4
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
		rl.recordUnreachable(ex.svc.Name, server)
	case oc == backend.Done || oc == backend.Declined:
		ex.pathLost = false
		rl.recordReached(ex.svc.Name, server, began)
	}
}

// recordUnreachable records that no connection to a server was established. A
// partitioned VM withdraws what it reported to the others about the engines.
func (rl *Relay) recordUnreachable(service, server string) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	listed := rl.listedServers(service)
	if !rl.paths.RecordUnreachable(rl.now(), service, server, len(listed)) {
		return
	}
	rl.Log.Log(event.ServiceUnreachable, event.F("Service", service), event.F("Server", server), event.F("Servers", len(listed)))
	rl.count("Partitions", map[string]string{"Service": service})
	for _, bs := range listed {
		rl.ledger.ClearFailed(bs.ID)
	}
	rl.notifyUsageChanged()
	rl.wakeWaiters()
	select {
	case rl.partitionBegan <- struct{}{}:
	default:
	}
}

// recordReached records that a server answered a call that began at a time.
func (rl *Relay) recordReached(service, server string, began clock.Millis) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !rl.paths.RecordReached(began, service) {
		return
	}
	rl.Log.Log(event.ServiceReachable, event.F("Service", service), event.F("Server", server))
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

// isPartitioned reports whether this VM is partitioned from a service.
func (rl *Relay) isPartitioned(service string) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.paths.IsPartitioned(service)
}

// ProbePartitions probes the services that this VM is partitioned from until the context
// ends.
func (rl *Relay) ProbePartitions(ctx context.Context) {
	rl.mu.Lock()
	rl.initialize()
	began := rl.partitionBegan
	rl.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-began:
		}
		for rl.probePaths(ctx) {
			if !clock.Sleep(ctx, pathProbeInterval) {
				return
			}
		}
	}
}

// probePaths tries one server of each service that this VM is partitioned from, and
// reports whether some partition goes on.
func (rl *Relay) probePaths(ctx context.Context) bool {
	rl.mu.Lock()
	services := rl.paths.Partitions()
	rl.mu.Unlock()
	partitioned := false
	for _, service := range services {
		began := rl.now()
		if bs, ok := rl.randomServer(service, nil); ok && rl.Servers.Reaches(ctx, bs) {
			rl.recordReached(service, bs.ID, began)
		} else {
			partitioned = true
		}
	}
	return partitioned
}

// randomServer returns a listed server of a service, except for the excluded ones; nil
// excludes none.
func (rl *Relay) randomServer(service string, excluded func(bs board.BackendServer) bool) (board.BackendServer, bool) {
	list := rl.listedServers(service)
	if excluded != nil {
		list = slices.DeleteFunc(list, excluded)
	}
	if len(list) == 0 {
		return board.BackendServer{}, false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return list[rl.Rand.IntN(len(list))], true
}

// hasCrashed reports whether a server has crashed: it refuses connections, and another
// one of its service, if there is one, does not. Where all connections are refused, this
// VM may be partitioned. Servers that are known to have crashed say nothing about that.
func (rl *Relay) hasCrashed(ctx context.Context, bs board.BackendServer) bool {
	if !rl.Servers.Ended(ctx, bs) {
		return false
	}
	for range maxCrashProbes {
		other, ok := rl.randomServer(bs.Service, func(one board.BackendServer) bool {
			return one.ID == bs.ID || rl.poisonGuard().HasCrashed(one.ID)
		})
		if !ok || rl.Servers.Reaches(ctx, other) {
			return true
		}
	}
	return false
}
