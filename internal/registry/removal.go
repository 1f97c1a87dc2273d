package registry

import (
	"cmp"
	"math"
	"slices"

	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

const (
	// DefaultHeartbeat is the interval at which servers renew their entries.
	DefaultHeartbeat = 1200 * clock.Millis(1)

	// maxWriteDelay bounds the time from a write that got no answer until the store carries
	// it out, and so the time for which removals and renewals are remembered.
	maxWriteDelay = 15 * clock.Second

	// clockDrift is the fraction of a heartbeat, as a divisor, by which the clocks of the
	// store and of this VM may differ over three of them.
	clockDrift = 32
)

type (
	// Removal reports that the entry of a server was removed. Entries up to a revision were
	// written before that, also those that take effect later.
	Removal struct {
		Key   string // of the server
		Until topic.Revision
		Age   clock.Millis // time since the removal
	}

	// removal is a Removal as a Registry remembers it.
	removal struct {
		until topic.Revision
		at    clock.Millis
	}
)

// revision returns the revision of the server's entry.
func (ls listing) revision() topic.Revision {
	return topic.Revision{Incarnation: ls.server.Incarnation, Renewal: ls.renewal}
}

// lastRevision returns the newest revision that the server may have written before its entry
// was removed, if the removal is read now.
//
// An entry that expired was silent for three heartbeats, and the next renewal shows that the
// server is alive. After a shorter silence the server itself removed its entry, and writes of
// that time are from before the removal, although none of them has taken effect yet. A server
// that was leaving writes nothing new.
func (ls listing) lastRevision(now, heartbeat clock.Millis) topic.Revision {
	rv := ls.revision()
	silence := now - ls.writtenAfter // at most
	expiry := 3*heartbeat - heartbeat/clockDrift
	switch {
	case ls.server.Leaving:
		rv.Renewal = math.MaxUint64
	case ls.renewal > 0 && ls.writtenAfter > 0 && silence < expiry:
		rv.Renewal += uint64(silence/heartbeat) + 1
	}
	return rv
}

// isLate reports whether an entry was written before what is already known of its server. It
// took effect late, and does not show that the server is alive.
func (rg *Registry) isLate(now clock.Millis, en Entry) bool {
	ls, listed := rg.servers[en.Server.Key()]
	rv := en.revision()
	switch {
	case !listed:
		return rg.isRemoved(now, en)
	case ls.expiredAt > 0:
		return !rv.IsAfter(ls.until)
	case rv.Incarnation != ls.server.Incarnation:
		return rv.Incarnation < ls.server.Incarnation
	default:
		return rv.Renewal > 0 && rv.Renewal < ls.renewal && now-ls.renewedAt < maxWriteDelay
	}
}

// isRemoved reports whether an entry of a server that is not listed was written before its
// removal.
func (rg *Registry) isRemoved(now clock.Millis, en Entry) bool {
	rm, ok := rg.removed[en.Server.Key()]
	return ok && now-rm.at < maxWriteDelay && !en.revision().IsAfter(rm.until)
}

// Supersedes reports whether an entry belongs to a server whose entry was removed after it had
// been written, and returns the last revision before the removal.
func (rg *Registry) Supersedes(now clock.Millis, en Entry) (until topic.Revision, ok bool) {
	key := en.Server.Key()
	if _, listed := rg.servers[key]; listed || !rg.isRemoved(now, en) {
		return topic.Revision{}, false
	}
	return rg.removed[key].until, true
}

// Until returns the newest revision that the server with the key may have written before the
// removal of its entry, if that removal is read now or was read lately. It is zero if nothing
// is known.
func (rg *Registry) Until(now clock.Millis, key string) topic.Revision {
	if ls, ok := rg.servers[key]; ok {
		return ls.until.Max(ls.lastRevision(now, rg.heartbeat()))
	}
	return rg.removed[key].until
}

// Removals returns the removals that are remembered, the newest first.
func (rg *Registry) Removals(now clock.Millis) []Removal {
	rg.forgetRemovals(now)
	out := make([]Removal, 0, len(rg.removed))
	for key, rm := range rg.removed {
		out = append(out, Removal{Key: key, Until: rm.until, Age: now - rm.at})
	}
	slices.SortFunc(out, func(ra, rb Removal) int {
		return cmp.Or(cmp.Compare(ra.Age, rb.Age), cmp.Compare(ra.Key, rb.Key))
	})
	return out
}

// Merge applies removals that another VM knows of. A server that is listed by an entry from
// before its removal is removed.
func (rg *Registry) Merge(now clock.Millis, list []Removal) {
	for _, rm := range list {
		if rm.Age < 0 || rm.Age >= maxWriteDelay {
			continue
		}
		ls, listed := rg.servers[rm.Key]
		switch {
		case !listed:
			rg.remember(now-rm.Age, rm.Key, rm.Until)
		case ls.expiredAt == 0 && !ls.revision().IsAfter(rm.Until):
			rg.drop(now-rm.Age, rm.Key, rm.Until)
		}
	}
}

// remember records the removal of an entry, unless nothing is known of its revision.
func (rg *Registry) remember(at clock.Millis, key string, until topic.Revision) {
	before := rg.removed[key]
	until = until.Max(before.until)
	if until == (topic.Revision{}) {
		return
	}
	if rg.removed == nil {
		rg.removed = make(map[string]removal)
	}
	rg.removed[key] = removal{until: until, at: max(before.at, at)}
}

// forgetRemovals drops the removals after which no entry can still take effect late.
func (rg *Registry) forgetRemovals(now clock.Millis) {
	for key, rm := range rg.removed {
		if now-rm.at >= maxWriteDelay {
			delete(rg.removed, key)
		}
	}
}

// heartbeat returns the interval at which servers renew their entries.
func (rg *Registry) heartbeat() clock.Millis { return cmp.Or(rg.Heartbeat, DefaultHeartbeat) }
