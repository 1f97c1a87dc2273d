// Package limit tracks which backend servers limit the calls that they take from all
// VMs together.
//
// A server names its limit in its answers, each of which reaches one VM. The VMs notify
// each other when a limit begins, changes or ends, and at intervals while it is named. A
// limit ends when an answer to a later call does not name it, or when no answer has named
// it for a while ([Term]).
//
// # Usage
//
//	tr := &limit.Tracker{}
//	nt, ch := tr.Observe(now, sentAt, server, limit.Observation{Rate: 3.5, Named: true})
//	... // broadcast nt and log ch, unless they are nil
//	ch := tr.Receive(now, nt) // at the other VMs
//	if rate, ok := tr.Rate(now, server); ok { ... } // calls need permits
//
// A Tracker does no I/O and is safe for concurrent use.
package limit

import (
	"math"
	"sync"

	"alderdyke/pkg/clock"
)

const (
	// MaxRate is the lowest rate, in calls per second, that counts as no limit.
	MaxRate = 100000
	// MinRate is the rate, in calls per second, at which a server with a lower limit is
	// called, so that it can name another one.
	MinRate = 0.2
	// minTerm is how long a limit holds after it was last named.
	minTerm = 2 * clock.Second
	// termCalls is how many calls a limit lets pass, at least, until it lapses: a server
	// that gets no calls can't repeat its limit.
	termCalls = 2
	// repeatInterval is how often the other VMs are notified of a limit that is still named.
	repeatInterval = 500 * clock.Millis(1)
	// recentCells and recentCell divide the time over which calls are counted.
	recentCells = 8
	recentCell  = 150 * clock.Millis(1)
)

type (
	// Server is one run of a backend server.
	Server struct {
		ID          string
		Incarnation uint64 // higher in each run; zero if it is not known
	}

	// Observation is what an answer says about its server's limit.
	Observation struct {
		Named bool    // the answer names a limit
		Rate  float64 // calls per second, from 0 to MaxRate
		Final bool    // an answer without a limit ends an earlier one
	}

	// Notice is what one VM reports to the others about a server's limit.
	Notice struct {
		Server Server
		Rate   float64 // calls per second
		Ended  bool
		Age    clock.Millis // since the server's answer
	}

	// Change is a limit that began, changed or ended.
	Change struct {
		Server Server
		Rate   float64 // calls per second; meaningless if Ended
		Ended  bool
		Before float64 // the earlier rate; meaningless unless Known
		Known  bool    // there was a limit before
		Age    clock.Millis
	}

	// Tracker tracks the limits as one VM knows them. The zero value is ready to use.
	Tracker struct {
		mu     sync.Mutex
		limits map[string]*entry  // by server ID
		recent map[string]*recent // by server ID
	}

	// entry is the latest observation of a server's limit, by any VM.
	entry struct {
		server     Server
		rate       float64
		ended      bool
		at         clock.Millis // of the server's answer
		deniedAt   clock.Millis // when this VM last withheld a call; zero: never
		notifiedAt clock.Millis // last notice to the VMs, by whichever of them
	}

	// recent counts this VM's calls to a server.
	recent struct {
		cells [recentCells]int
		last  int64 // number of the newest cell
	}
)

// Term returns how long a limit holds after it was last named.
func Term(rate float64) clock.Millis {
	return max(minTerm, clock.Millis(termCalls/max(rate, MinRate)*float64(clock.Second)))
}

// Observe records what an answer says, which came at now to a call that was sent at
// sentAt. The notice is for the other VMs; nil: there is nothing to report. The change is
// nil if the limit is as before.
func (tr *Tracker) Observe(now, sentAt clock.Millis, server Server, ob Observation) (*Notice, *Change) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	en := tr.limits[server.ID]
	active := en != nil && en.server == server && en.holds(now)
	switch {
	case en != nil && server.Incarnation < en.server.Incarnation:
		return nil, nil // a late answer of an earlier run
	case !ob.Named && !(active && ob.Final && sentAt > en.at):
		return nil, nil // an answer to an earlier call may be older than the limit
	case ob.Named && active && en.rate == ob.Rate:
		en.at = now
		if now < en.notifiedAt+repeatInterval {
			return nil, nil
		}
		en.notifiedAt = now
		return &Notice{Server: server, Rate: ob.Rate}, nil
	}
	ch := tr.set(now, &entry{server: server, rate: ob.Rate, ended: !ob.Named, at: now, notifiedAt: now})
	return &Notice{Server: server, Rate: ob.Rate, Ended: !ob.Named}, ch
}

// Receive records a notice of another VM, unless something newer is known. The change is
// nil if the limit is as before.
func (tr *Tracker) Receive(now clock.Millis, nt Notice) *Change {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	at := now - max(0, nt.Age)
	en := tr.limits[nt.Server.ID]
	if en != nil && (nt.Server.Incarnation < en.server.Incarnation || nt.Server == en.server && at <= en.at) {
		return nil
	}
	next := &entry{server: nt.Server, rate: nt.Rate, ended: nt.Ended, at: at, notifiedAt: now}
	if !next.holds(now) && !nt.Ended {
		return nil
	}
	return tr.set(now, next)
}

// set replaces the latest observation and returns what changed. The lock is held.
func (tr *Tracker) set(now clock.Millis, next *entry) *Change {
	en := tr.limits[next.server.ID]
	known := en != nil && en.holds(now)
	if tr.limits == nil {
		tr.limits = make(map[string]*entry)
	}
	if known {
		next.deniedAt = en.deniedAt
	}
	tr.limits[next.server.ID] = next
	if known == !next.ended && (!known || en.rate == next.rate) {
		return nil
	}
	ch := &Change{Server: next.server, Rate: next.rate, Ended: next.ended, Known: known, Age: now - next.at}
	if known {
		ch.Before = en.rate
	}
	return ch
}

// holds reports whether the limit is in force. While this VM withholds calls because of
// it, the server's silence says nothing.
func (en *entry) holds(now clock.Millis) bool {
	return !en.ended && now < max(en.at, en.deniedAt)+Term(en.rate)
}

// Rate returns the limit of a server in calls per second, at least MinRate, or false if
// it has none.
func (tr *Tracker) Rate(now clock.Millis, id string) (float64, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	en := tr.limits[id]
	if en == nil || !en.holds(now) {
		return 0, false
	}
	return max(en.rate, MinRate), true
}

// Age returns how long ago a server's limit was last named.
func (tr *Tracker) Age(now clock.Millis, id string) clock.Millis {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if en := tr.limits[id]; en != nil {
		return now - en.at
	}
	return math.MaxInt64
}

// Deny records that this VM withholds a call because of a server's limit.
func (tr *Tracker) Deny(now clock.Millis, id string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if en := tr.limits[id]; en != nil && en.holds(now) {
		en.deniedAt = now
	}
}

// Lapse drops limits that no longer hold, and those of runs that no longer exist. It
// returns those that lapsed because no answer named them, and reports whether any
// limit is in force.
func (tr *Tracker) Lapse(now clock.Millis, exists func(server Server) bool) (lapsed []Change, active bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, en := range tr.limits {
		switch {
		case en.holds(now) && exists(en.server):
			active = true
			continue
		case !en.ended:
			lapsed = append(lapsed, Change{Server: en.server, Rate: en.rate, Ended: true, Before: en.rate, Known: true, Age: now - en.at})
		case now < en.at+minTerm:
			continue // a late notice of an earlier answer would renew the limit
		}
		delete(tr.limits, id)
	}
	return lapsed, active
}

// CountCall counts a call of this VM to a server.
func (tr *Tracker) CountCall(now clock.Millis, id string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.recent == nil {
		tr.recent = make(map[string]*recent)
	}
	rc := tr.recent[id]
	if rc == nil {
		rc = &recent{}
		tr.recent[id] = rc
	}
	rc.advance(now)
	rc.cells[rc.last%recentCells]++
}

// RecentCalls returns the calls of this VM to a server in the last 1.05 to 1.2 s.
func (tr *Tracker) RecentCalls(now clock.Millis, id string) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	rc := tr.recent[id]
	if rc == nil {
		return 0
	}
	rc.advance(now)
	sum := 0
	for _, calls := range rc.cells {
		sum += calls
	}
	return sum
}

// advance empties the cells since the last call.
func (rc *recent) advance(now clock.Millis) {
	cell := int64(now / recentCell)
	for ; rc.last < cell; rc.last++ {
		if cell-rc.last > recentCells {
			rc.last = cell - recentCells
		}
		rc.cells[(rc.last+1)%recentCells] = 0
	}
}

// Retain drops the counts of servers that no longer exist.
func (tr *Tracker) Retain(exists func(id string) bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id := range tr.recent {
		if !exists(id) {
			delete(tr.recent, id)
		}
	}
}
