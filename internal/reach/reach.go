// Package reach decides from the outcomes of calls whether this VM is partitioned from
// the servers of a service.
//
// One server to which no connection is established may have crashed. Several in a row,
// with none reached since, show a partition, or that all servers are down; the two look
// alike from here, and another VM can tell.
//
// The package has no clock and makes no calls: its caller reports each outcome, and
// probes a service that this VM is partitioned from.
//
// # Usage
//
//	var tr reach.Tracker
//	if tr.RecordUnreachable(now, "summary", "i-1", len(servers)) { ... } // partitioned from now on
//	if tr.IsPartitioned("summary") { ... }                               // forward the request
//	if tr.RecordReached(began, "summary") { ... }                        // no longer partitioned
package reach

import "alderdyke/pkg/clock"

const (
	// minServers is how many servers must be unreachable in a row for a partition; all
	// of them if the service has fewer.
	minServers = 3
	// unreachableTTL is how long an unreachable server counts. It bridges the pauses
	// between the requests of a VM with little work.
	unreachableTTL = 5 * clock.Second
)

type (
	// Tracker holds what one VM knows of its paths to all services. The zero value is
	// ready to use. It is not safe for concurrent use.
	Tracker struct{ paths map[string]*path }

	// path is the path to the servers of one service.
	path struct {
		unreachable map[string]clock.Millis // servers to which no connection was established, and when
		partitioned bool
		since       clock.Millis
	}
)

// RecordUnreachable records that no connection to a server was established. listed is
// the number of servers of the service; there is no partition from a service that has
// none. It reports whether a partition begins.
func (tr *Tracker) RecordUnreachable(now clock.Millis, service, server string, listed int) bool {
	pt := tr.path(service)
	pt.unreachable[server] = now
	for id, at := range pt.unreachable {
		if now-at >= unreachableTTL {
			delete(pt.unreachable, id)
		}
	}
	if pt.partitioned || listed == 0 || len(pt.unreachable) < min(minServers, listed) {
		return false
	}
	pt.partitioned, pt.since = true, now
	return true
}

// RecordReached records that a server of a service answered a call that began at a
// time. It reports whether a partition ends. An answer to a call from before the
// partition shows nothing about the path since.
func (tr *Tracker) RecordReached(began clock.Millis, service string) bool {
	pt, ok := tr.paths[service]
	if !ok || pt.partitioned && began < pt.since {
		return false
	}
	for id, at := range pt.unreachable {
		if at <= began {
			delete(pt.unreachable, id)
		}
	}
	ended := pt.partitioned
	pt.partitioned = false
	return ended
}

// IsPartitioned reports whether this VM is partitioned from a service.
func (tr *Tracker) IsPartitioned(service string) bool {
	pt, ok := tr.paths[service]
	return ok && pt.partitioned
}

// Partitions returns the services that this VM is partitioned from.
func (tr *Tracker) Partitions() []string {
	var out []string
	for name, pt := range tr.paths {
		if pt.partitioned {
			out = append(out, name)
		}
	}
	return out
}

func (tr *Tracker) path(service string) *path {
	if tr.paths == nil {
		tr.paths = make(map[string]*path)
	}
	pt := tr.paths[service]
	if pt == nil {
		pt = &path{unreachable: make(map[string]clock.Millis)}
		tr.paths[service] = pt
	}
	return pt
}
