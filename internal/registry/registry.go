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
// # Usage
//
//	var rg registry.Registry
//	rg.Replace(now, servers)        // a complete listing
//	rg.Set(server)                  // one entry
//	rg.Remove(now, key)             // one entry expired or was withdrawn
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
	// Registry holds the backend servers that this VM considers registered.
	Registry struct {
		RenewalGrace clock.Millis // zero means DefaultRenewalGrace

		servers   map[string]entry // by BackendServer.Key
		outageEnd clock.Millis     // end of the last outage of the store; zero if none is known
		changed   bool
	}

	entry struct {
		server    board.BackendServer
		expiredAt clock.Millis // when its entry expired within a grace period; zero if it has not expired
	}
)

// Set adds or updates one entry.
func (rg *Registry) Set(bs board.BackendServer) {
	if rg.servers == nil {
		rg.servers = make(map[string]entry)
	}
	if rg.IsRedundant(bs) {
		return
	}
	rg.servers[bs.Key()] = entry{server: rg.withLeavingKept(bs)}
	rg.changed = true
}

// IsRedundant reports whether an entry holds nothing new: it is a mere renewal, or
// it belongs to an earlier incarnation of its server.
func (rg *Registry) IsRedundant(bs board.BackendServer) bool {
	en, ok := rg.servers[bs.Key()]
	return ok && (en.server == rg.withLeavingKept(bs) && en.expiredAt == 0 || bs.Incarnation < en.server.Incarnation)
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
	en, ok := rg.servers[key]
	return en.server, ok
}

// Remove removes the server of an entry that expired or was withdrawn. If an outage
// of the store ended less than RenewalGrace ago, it keeps the server, which may
// still renew its entry, and reports true.
func (rg *Registry) Remove(now clock.Millis, key string) (kept bool) {
	en, ok := rg.servers[key]
	if !ok {
		return false
	}
	if rg.inGracePeriod(now) {
		if en.expiredAt == 0 {
			en.expiredAt = max(1, now)
		}
		rg.servers[key] = en
		return true
	}
	delete(rg.servers, key)
	rg.changed = true
	return false
}

// Replace applies a complete listing: it sets the listed entries and removes the
// servers that are not listed. It returns the keys of those that Remove kept.
func (rg *Registry) Replace(now clock.Millis, list []board.BackendServer) (kept []string) {
	listed := make(map[string]bool, len(list))
	for _, bs := range list {
		listed[bs.Key()] = true
		rg.Set(bs)
	}
	for key := range rg.servers {
		if !listed[key] && rg.Remove(now, key) {
			kept = append(kept, key)
		}
	}
	return kept
}

// SetOutageEnd sets the time until which the store was last unavailable to all VMs;
// zero means that no outage is known.
func (rg *Registry) SetOutageEnd(until clock.Millis) { rg.outageEnd = until }

// Servers returns the servers sorted by ID and reports whether the list has changed
// since the last call.
func (rg *Registry) Servers(now clock.Millis) (list []board.BackendServer, changed bool) {
	rg.evictExpired(now)
	changed, rg.changed = rg.changed, false
	for _, en := range rg.servers {
		list = append(list, en.server)
	}
	slices.SortFunc(list, func(sa, sb board.BackendServer) int { return strings.Compare(sa.ID, sb.ID) })
	return list, changed
}

// evictExpired removes the servers that can no longer renew their expired entries.
func (rg *Registry) evictExpired(now clock.Millis) {
	for key, en := range rg.servers {
		if en.expiredAt > 0 && !rg.mayRenew(now, en) {
			delete(rg.servers, key)
			rg.changed = true
		}
	}
}

// mayRenew reports whether a server may still renew its expired entry. If the entry
// expired within the grace period, its renewal may have failed in a further outage
// that was too short for any VM to notice; the server retries one heartbeat later.
func (rg *Registry) mayRenew(now clock.Millis, en entry) bool {
	return rg.inGracePeriod(now) || rg.inGracePeriod(en.expiredAt) && now-en.expiredAt < maxRenewalDelay
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
