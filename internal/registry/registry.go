// Package registry combines the store's entries of the backend servers into
// the list of servers that this VM uses.
//
// Servers register themselves, and their entries expire when they stop renewing
// them. During an outage of the store they can't renew them, so an entry that
// expired then says nothing about its server until the store has been available
// again for a while. If an entry states that its server is leaving, that takes
// effect at once and lasts as long as the entry: a delayed write does not revoke
// it. A server that restarts reuses its entry under a higher incarnation; a
// delayed write of an earlier incarnation changes nothing.
//
// A write that got no answer may take effect seconds later, also after later writes
// of its server and after the removal of its entry. Servers number their entries, so
// such an entry is told from one of a server that is back: it has no higher
// [topic.Revision] than what is known of the server. The VM that reads the store
// knows the number of every renewal. It tells the other VMs the last one with each
// removal, which all remember for as long as a write may be delayed.
//
// # Usage
//
//	var rg registry.Registry
//	rg.Replace(now, entries)        // a complete listing
//	rg.Set(now, entry)              // one entry
//	rg.Remove(now, key, until)      // one entry expired or was withdrawn
//	rg.Merge(now, removals)         // what another VM remembers
//	rg.SetOutageEnd(until)          // no VM could reach the store until then
//	list, changed := rg.Servers(now)
//
// A Registry does no I/O and is not safe for concurrent use. The zero value
// is empty and ready to use.
package registry

import (
	"slices"
	"strings"

	"alderdyke/internal/board"
	"alderdyke/internal/topic"
	"alderdyke/pkg/clock"
)

// DefaultRenewalGrace is the time within which a live server renews its entry
// after the end of an outage: the platform guarantees two seconds, and a tenth
// of that is added for the transmission.
const DefaultRenewalGrace = 2200 * clock.Millis(1)

// maxRenewalDelay bounds the time from the expiry of an entry to the next renewal
// by a live server: one heartbeat interval plus the transmission.
const maxRenewalDelay = 1250 * clock.Millis(1)

type (
	// Entry is a server's entry as the store has it.
	Entry struct {
		Server  board.BackendServer
		Renewal uint64       // number of the entry in its server's incarnation, from 1; zero: not known
		After   clock.Millis // the entry was written after this time; zero: not known
	}

	// Registry holds the backend servers that this VM considers registered.
	Registry struct {
		RenewalGrace clock.Millis // zero means DefaultRenewalGrace
		Heartbeat    clock.Millis // zero means DefaultHeartbeat

		servers   map[string]listing // by BackendServer.Key
		removed   map[string]removal // by BackendServer.Key: the last removal of the entry, if it is recent
		outageEnd clock.Millis       // end of the last outage of the store; zero if none is known
		changed   bool
	}

	// listing is a registered server with what is known of its entry.
	listing struct {
		server       board.BackendServer
		renewal      uint64         // highest number of an entry; zero: not known
		writtenAfter clock.Millis   // its last entry was written after this time; zero: not known
		renewedAt    clock.Millis   // when its last entry was read
		contested    bool           // a late entry differed: other VMs that read it may have applied it
		expiredAt    clock.Millis   // when its entry expired within a grace period; zero if it has not expired
		until        topic.Revision // newest revision from before it expired
	}
)

func (en Entry) revision() topic.Revision {
	return topic.Revision{Incarnation: en.Server.Incarnation, Renewal: en.Renewal}
}

// Set adds or updates one entry, unless it is late. A late entry can still announce that its
// server is leaving.
func (rg *Registry) Set(now clock.Millis, en Entry) {
	if rg.isLate(now, en) {
		rg.setLate(en)
		return
	}
	if rg.servers == nil {
		rg.servers = make(map[string]listing)
	}
	key, bs := en.Server.Key(), rg.withLeavingKept(en.Server)
	was, listed := rg.servers[key]
	if en.Renewal == 0 && was.server.Incarnation == bs.Incarnation {
		en.Renewal = was.renewal
	}
	rg.changed = rg.changed || !listed || was.server != bs || was.expiredAt > 0
	rg.servers[key] = listing{server: bs, renewal: en.Renewal, writtenAfter: en.After, renewedAt: now}
	delete(rg.removed, key)
}

// setLate applies a late entry to the server that is listed, if any.
func (rg *Registry) setLate(en Entry) {
	key := en.Server.Key()
	ls, listed := rg.servers[key]
	if !listed {
		return
	}
	if rg.announcesLeaving(en) {
		ls.server.Leaving, rg.changed = true, true
	}
	ls.contested = ls.contested || ls.server != rg.withLeavingKept(en.Server)
	rg.servers[key] = ls
}

// announcesLeaving reports whether an entry is the first of its incarnation to mark the server
// as leaving.
func (rg *Registry) announcesLeaving(en Entry) bool {
	ls, listed := rg.servers[en.Server.Key()]
	return listed && en.Server.Leaving && !ls.server.Leaving && en.Server.Incarnation == ls.server.Incarnation
}

// Renew records the renewal of an entry that is listed already and has not changed. This VM
// reads it after other VMs did.
func (rg *Registry) Renew(en Entry) {
	ls, listed := rg.servers[en.Server.Key()]
	if listed && en.Server.Incarnation == ls.server.Incarnation && en.Renewal > ls.renewal {
		ls.renewal, ls.writtenAfter = en.Renewal, en.After
		rg.servers[en.Server.Key()] = ls
	}
}

// IsRedundant reports whether an entry holds nothing new: it is a mere renewal, or it is late.
func (rg *Registry) IsRedundant(now clock.Millis, en Entry) bool {
	if rg.isLate(now, en) {
		return !rg.announcesLeaving(en)
	}
	ls, listed := rg.servers[en.Server.Key()]
	return listed && ls.server == rg.withLeavingKept(en.Server) && ls.expiredAt == 0 && !ls.contested
}

// IsLate reports whether an entry is late and differs from what is known of its server.
func (rg *Registry) IsLate(now clock.Millis, en Entry) bool {
	ls, listed := rg.servers[en.Server.Key()]
	return rg.isLate(now, en) && (!listed || ls.server != rg.withLeavingKept(en.Server))
}

// RevokesLeaving reports whether an entry lacks Leaving although an earlier entry of
// the same incarnation had it. Servers never revoke it, so such an entry was written
// earlier and took effect late.
func (rg *Registry) RevokesLeaving(bs board.BackendServer) bool { return rg.withLeavingKept(bs) != bs }

// withLeavingKept returns the entry with Leaving set if an earlier entry of the same
// incarnation had it set.
func (rg *Registry) withLeavingKept(bs board.BackendServer) board.BackendServer {
	was := rg.servers[bs.Key()].server
	bs.Leaving = bs.Leaving || was.Leaving && was.Incarnation == bs.Incarnation
	return bs
}

// Contains reports whether there is a server with the key.
func (rg *Registry) Contains(key string) bool {
	_, ok := rg.servers[key]
	return ok
}

// Server returns the server with the key.
func (rg *Registry) Server(key string) (board.BackendServer, bool) {
	ls, ok := rg.servers[key]
	return ls.server, ok
}

// Remove removes the server of an entry that expired or was withdrawn, and remembers which
// entries were written before that: up to the given revision, or up to what this VM knows. If
// an outage of the store ended less than RenewalGrace ago, it keeps the server, which may
// still renew its entry, and reports true.
func (rg *Registry) Remove(now clock.Millis, key string, until topic.Revision) (kept bool) {
	until = until.Max(rg.Until(now, key))
	ls, listed := rg.servers[key]
	if listed && rg.inGracePeriod(now) {
		if ls.expiredAt == 0 {
			ls.expiredAt = max(1, now)
		}
		ls.until = until
		rg.servers[key] = ls
		return true
	}
	rg.drop(now, key, until)
	return false
}

// RemoveOverwritten is Remove for an entry that another writer replaced. The server did not
// withdraw it, and renews it if it is alive.
func (rg *Registry) RemoveOverwritten(now clock.Millis, key string) (kept bool) {
	if ls, listed := rg.servers[key]; listed {
		ls.writtenAfter = 0
		rg.servers[key] = ls
	}
	return rg.Remove(now, key, topic.Revision{})
}

// drop removes a server and remembers the removal of its entry.
func (rg *Registry) drop(at clock.Millis, key string, until topic.Revision) {
	if _, listed := rg.servers[key]; listed {
		delete(rg.servers, key)
		rg.changed = true
	}
	rg.remember(at, key, until)
}

// Replace applies a complete listing: it sets the listed entries and removes the
// servers that are not listed. It returns the keys of those that Remove kept.
func (rg *Registry) Replace(now clock.Millis, list []Entry) (kept []string) {
	listed := make(map[string]bool, len(list))
	for _, en := range list {
		listed[en.Server.Key()] = true
		rg.Set(now, en)
	}
	for key := range rg.servers {
		if !listed[key] && rg.Remove(now, key, topic.Revision{}) {
			kept = append(kept, key)
		}
	}
	return kept
}

// SetStoreRestored tells that the store was restored from an older copy. Entries that are
// missing there were lost, and not removed by their servers, which may write the last ones again.
func (rg *Registry) SetStoreRestored() {
	for key, ls := range rg.servers {
		ls.writtenAfter = 0
		ls.renewal = max(1, ls.renewal) - 1
		rg.servers[key] = ls
	}
}

// SetOutageEnd sets the time until which the store was last unavailable to all VMs;
// zero means that no outage is known.
func (rg *Registry) SetOutageEnd(until clock.Millis) { rg.outageEnd = until }

// Servers returns the servers sorted by ID and reports whether the list has changed
// since the last call.
func (rg *Registry) Servers(now clock.Millis) (list []board.BackendServer, changed bool) {
	rg.evictExpired(now)
	rg.forgetRemovals(now)
	changed, rg.changed = rg.changed, false
	for _, ls := range rg.servers {
		list = append(list, ls.server)
	}
	slices.SortFunc(list, func(sa, sb board.BackendServer) int { return strings.Compare(sa.ID, sb.ID) })
	return list, changed
}

// evictExpired removes the servers that can no longer renew their expired entries.
func (rg *Registry) evictExpired(now clock.Millis) {
	for key, ls := range rg.servers {
		if ls.expiredAt > 0 && !rg.mayRenew(now, ls) {
			rg.drop(now, key, ls.until)
		}
	}
}

// mayRenew reports whether a server may still renew its expired entry. If the entry
// expired within the grace period, its renewal may have failed in a further outage
// that was too short for any VM to notice; the server retries one heartbeat later.
func (rg *Registry) mayRenew(now clock.Millis, ls listing) bool {
	return rg.inGracePeriod(now) || rg.inGracePeriod(ls.expiredAt) && now-ls.expiredAt < maxRenewalDelay
}

// inGracePeriod reports whether an outage of the store ended so recently that entries
// that expired during it may still be renewed.
func (rg *Registry) inGracePeriod(now clock.Millis) bool {
	span := rg.RenewalGrace
	if span == 0 {
		span = DefaultRenewalGrace
	}
	return rg.outageEnd > 0 && now-rg.outageEnd < span
}
