// Package reach decides from the outcomes of calls whether this VM has a path to the
// servers of a service.
//
// One server to which no connection is established may have crashed. Several in a row,
// with none reached since, show a fault of this VM's own path, or of all servers; the
// two look alike from here, and another VM can tell.
//
// The package has no clock and makes no calls: its caller reports each outcome, and
// checks the path of a service that counts as cut off from time to time.
//
// # Usage
//
//	var tr reach.Tracker
//	if tr.Missed(now, "summary", "i-1", len(servers)) { ... } // cut off from now on
//	if tr.CutOff("summary") { ... }                           // pass the request on
//	if tr.Reached(began, "summary") { ... }                   // no longer cut off
package reach

import "alderdyke/pkg/clock"

const (
	// minServers is how many servers must be missed in a row before the path counts as
	// cut; all of them if the service has fewer.
	minServers = 3
	// missTTL is how long a missed server counts. It bridges the pauses between the
	// requests of a VM with little work.
	missTTL = 5 * clock.Second
)

type (
	// Tracker holds the paths of one VM. The zero value is ready to use. It is not safe
	// for concurrent use.
	Tracker struct{ paths map[string]*path }

	// path is the path to the servers of one service.
	path struct {
		missed   map[string]clock.Millis // servers that were not reached, and when
		cutOff   bool
		cutSince clock.Millis
	}
)

// Missed records that no connection to a server was established. listed is the number
// of servers of the service; without any there is no path to be cut. It reports whether
// the service counts as cut off from now on.
func (tr *Tracker) Missed(now clock.Millis, service, server string, listed int) bool {
	pt := tr.path(service)
	pt.missed[server] = now
	for id, at := range pt.missed {
		if now-at >= missTTL {
			delete(pt.missed, id)
		}
	}
	if pt.cutOff || listed == 0 || len(pt.missed) < min(minServers, listed) {
		return false
	}
	pt.cutOff, pt.cutSince = true, now
	return true
}

// Reached records that a server of a service answered a call that began at a time. It
// reports whether the service was cut off until now. An answer to a call from before
// the cut shows nothing about the path since.
func (tr *Tracker) Reached(began clock.Millis, service string) bool {
	pt, ok := tr.paths[service]
	if !ok || pt.cutOff && began < pt.cutSince {
		return false
	}
	for id, at := range pt.missed {
		if at <= began {
			delete(pt.missed, id)
		}
	}
	restored := pt.cutOff
	pt.cutOff = false
	return restored
}

// CutOff reports whether a service counts as cut off.
func (tr *Tracker) CutOff(service string) bool {
	pt, ok := tr.paths[service]
	return ok && pt.cutOff
}

// Services returns the services that count as cut off.
func (tr *Tracker) Services() []string {
	var out []string
	for name, pt := range tr.paths {
		if pt.cutOff {
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
		pt = &path{missed: make(map[string]clock.Millis)}
		tr.paths[service] = pt
	}
	return pt
}
