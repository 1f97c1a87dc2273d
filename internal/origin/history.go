package origin

import (
	"maps"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// History remembers which software versions the servers of each service had. It is
// immutable.
type History struct {
	listed map[string]map[string]clock.Millis // by service and version: when it was listed last
	now    map[string]map[string]struct{}     // by service: the versions that are listed
	since  clock.Millis                       // from when on no version is missing
}

// WithServers returns the history after the list of servers changed.
func (hi History) WithServers(now clock.Millis, servers []board.BackendServer) History {
	out := History{listed: make(map[string]map[string]clock.Millis), now: make(map[string]map[string]struct{}), since: hi.since}
	for service, versions := range hi.listed {
		for version, at := range versions {
			if _, still := hi.now[service][version]; still {
				at = now
			}
			if now-at < maxLife {
				out.record(service, version, at)
			}
		}
	}
	for _, bs := range servers {
		out.record(bs.Service, bs.Version, now)
		if out.now[bs.Service] == nil {
			out.now[bs.Service] = make(map[string]struct{})
		}
		out.now[bs.Service][bs.Version] = struct{}{}
	}
	return out
}

func (hi History) record(service, version string, at clock.Millis) {
	if hi.listed[service] == nil {
		hi.listed[service] = make(map[string]clock.Millis)
	}
	hi.listed[service][version] = at
}

// WithVersion returns the history after a server of a version may have been listed and
// removed before the list was set.
func (hi History) WithVersion(now clock.Millis, service, version string) History {
	if _, listed := hi.now[service][version]; listed {
		return hi
	}
	out := History{listed: make(map[string]map[string]clock.Millis), now: hi.now, since: hi.since}
	for known, versions := range hi.listed {
		out.listed[known] = maps.Clone(versions)
	}
	out.record(service, version, now)
	return out
}

// WithGap returns the history after servers may have been listed and removed unseen.
func (hi History) WithGap(now clock.Millis) History {
	hi.since = now
	return hi
}

// Sole returns the only version that a service had in the last span. A service of which
// no server ever told a version has the empty one.
func (hi History) Sole(now, span clock.Millis, service string) (version string, ok bool) {
	versions := hi.Versions(now, span, service)
	if len(versions) != 1 || versions[0] != "" && hi.since > now-span {
		return "", false
	}
	return versions[0], true
}

// Several reports whether a service is known to have had several versions in the last span.
func (hi History) Several(now, span clock.Millis, service string) bool {
	return len(hi.Versions(now, span, service)) > 1
}

// Versions returns the known versions that a service had in the last span, in no order.
func (hi History) Versions(now, span clock.Millis, service string) []string {
	var out []string
	for version, at := range hi.listed[service] {
		if _, still := hi.now[service][version]; still || now-at < span {
			out = append(out, version)
		}
	}
	return out
}
