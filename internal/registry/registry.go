// Package registry folds what a store says of the backend servers into the
// list that this VM believes.
//
// Servers register themselves and their entries lapse when they fall silent.
// While the store is away they can't renew them, so an entry that lapsed then
// says nothing of its server until the store has been back for a while. A
// server that is said to leave is believed at once, and for as long as its
// entry lives: what is written late does not take that back. A server that
// starts again goes on under its entry; what is written late of a life before
// changes nothing.
//
// # Usage
//
//	var rg registry.Registry
//	rg.Replace(now, servers)        // a whole listing
//	rg.Set(server)                  // one entry
//	rg.Remove(now, key)             // one entry lapsed or was withdrawn
//	rg.SetOutageEnd(until)            // the store answered no VM until then
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

// DefaultRenewalGrace is how long after the store's return a live server has
// renewed its entry: two seconds by the platform's word, and a tenth more for
// the way.
const DefaultRenewalGrace = 2200 * clock.Millis(1)

// maxRenewalDelay bounds how long after its entry expired a live server next renews it:
// a heartbeat, and the way.
const maxRenewalDelay = 1250 * clock.Millis(1)

type (
	// Registry is the backend servers as this VM believes them.
	Registry struct {
		RenewalGrace clock.Millis // zero: DefaultRenewalGrace

		servers   map[string]entry // by BackendServer.Key
		outageEnd clock.Millis     // end of the last outage of the store; zero: none is known
		changed   bool
	}

	entry struct {
		server    board.BackendServer
		expiredAt clock.Millis // when its entry went, in a grace period; zero: it stands
	}
)

// Set takes one entry.
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

// IsRedundant tells whether an entry says nothing new, as one that was only renewed
// or one of an earlier life of its server.
func (rg *Registry) IsRedundant(bs board.BackendServer) bool {
	en, ok := rg.servers[bs.Key()]
	return ok && (en.server == rg.withLeavingKept(bs) && en.expiredAt == 0 || bs.Incarnation < en.server.Incarnation)
}

// RevokesLeaving tells whether an entry says no more that its server leaves, in the same
// life of it. No server does that: it was written before, and done late.
func (rg *Registry) RevokesLeaving(bs board.BackendServer) bool { return rg.withLeavingKept(bs) != bs }

// withLeavingKept is an entry with the word that its server leaves, if that was said in
// the same life of the server.
func (rg *Registry) withLeavingKept(bs board.BackendServer) board.BackendServer {
	was := rg.servers[bs.Key()].server
	bs.Leaving = bs.Leaving || was.Leaving && was.Incarnation == bs.Incarnation
	return bs
}

// Contains tells whether there is a server with the key.
func (rg *Registry) Contains(key string) bool {
	_, ok := rg.servers[key]
	return ok
}

// Server returns the server with the key.
func (rg *Registry) Server(key string) (board.BackendServer, bool) {
	en, ok := rg.servers[key]
	return en.server, ok
}

// Remove takes the end of one entry, and tells whether its server is kept since
// the store was away lately.
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

// Replace takes a whole listing: who is not in it has no entry. It returns the
// keys of the servers that are kept all the same.
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

// SetOutageEnd notes until when the store was last away for all VMs; zero: it was not, as
// far as is known now.
func (rg *Registry) SetOutageEnd(until clock.Millis) { rg.outageEnd = until }

// Servers lists the servers by ID, and tells whether the list has changed
// since it was asked for last.
func (rg *Registry) Servers(now clock.Millis) (list []board.BackendServer, changed bool) {
	rg.evictExpired(now)
	changed, rg.changed = rg.changed, false
	for _, en := range rg.servers {
		list = append(list, en.server)
	}
	slices.SortFunc(list, func(sa, sb board.BackendServer) int { return strings.Compare(sa.ID, sb.ID) })
	return list, changed
}

// evictExpired drops the servers that may not renew their entries any more.
func (rg *Registry) evictExpired(now clock.Millis) {
	for key, en := range rg.servers {
		if en.expiredAt > 0 && !rg.mayRenew(now, en) {
			delete(rg.servers, key)
			rg.changed = true
		}
	}
}

// mayRenew tells whether a server may still renew an entry that expired. One that
// expired in the grace period may have met a further outage, too short for any VM to
// see, and tries again a heartbeat later.
func (rg *Registry) mayRenew(now clock.Millis, en entry) bool {
	return rg.inGracePeriod(now) || rg.inGracePeriod(en.expiredAt) && now-en.expiredAt < maxRenewalDelay
}

// inGracePeriod tells whether the store was away so lately that entries that expired
// during the outage may still be renewed.
func (rg *Registry) inGracePeriod(now clock.Millis) bool {
	span := rg.RenewalGrace
	if span == 0 {
		span = DefaultRenewalGrace
	}
	return rg.outageEnd > 0 && now-rg.outageEnd < span
}
