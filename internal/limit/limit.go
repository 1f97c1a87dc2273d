// Package limit tracks which backend servers limit the calls that they take from all
// VMs together.
//
// A server names its limit in its answers, each of which reaches one VM. The VMs notify
// each other when a limit begins, changes or ends, and at intervals while it is named or
// calls are withheld. A
// limit ends when an answer to a later call does not name it, or when no answer has named
// it for a while ([Term]).
//
// # Usage
//
//	tr := &limit.Tracker{}
//	nt, ch := tr.Observe(now, sentAt, server, limit.Observation{Rate: 3.5, Named: true})
//	... // broadcast nt and log ch, unless they are nil
//	ch := tr.Receive(now, nt) // at the other VMs
//	notices := tr.InForce(now) // for a VM that starts
//	if rate, ok := tr.Rate(now, server); ok { ... } // calls need permits
//
// A Tracker does no I/O and is safe for concurrent use.
package limit

import (
	"math"
	"slices"
	"sync"

	"alderdyke/pkg/clock"
)

const (
	// MaxRate is the lowest rate, in calls per second, that counts as no limit.
	MaxRate = 100000
	// MinRate is the rate, in calls per second, at which a server with a lower limit is
	// called, so that it can name another one.
	MinRate = 0.2
	// Term is how long a limit holds after it was last named or a call was withheld. Meanwhile
	// calls get permits, and the first answer that does not name the limit ends it. On a busy
	// machine servers do not answer for 2 s and more; with a term of 2 s VMs lost their limits
	// then and sent up to 81 calls in 4 s where 26 are allowed. At MinRate two calls pass.
	Term = 10 * clock.Second
	// repeatInterval is how often the other VMs are notified of a limit that is still named.
	repeatInterval = 500 * clock.Millis(1)
	// withheldInterval is how often they are if calls are withheld. In a fleet of 300 VMs, of
	// which one in 20 misses a notice, another one often sends it again at once: with 500 ms
	// that is 3 notices a second, with 750 ms 2.25.
	withheldInterval = 900 * clock.Millis(1)
	// maxCheckGap is the longest time between two calls of Lapse, which are due every
	// 100 ms, that counts as time in which this VM ran.
	maxCheckGap = 300 * clock.Millis(1)
	// recentCells and recentCell divide the time over which calls are counted.
	recentCells = 32
	recentCell  = 150 * clock.Millis(1)
	// reportedCells are those that are reported if answers come at once: a window of four
	// seconds that ends three seconds after a limit began reaches back for one.
	reportedCells = 8
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
		// checkedAt is the last call of Lapse; zero: none. A VM that has stopped since then
		// has heard nothing, so that this time is no silence of the servers.
		checkedAt clock.Millis
	}

	// entry is the latest observation of a server's limit, by any VM.
	entry struct {
		server     Server
		rate       float64
		ended      bool
		at         clock.Millis // of the server's answer
		deniedAt   clock.Millis // when this VM last withheld a call; zero: never
		deaf       clock.Millis // for how long this VM did not run since it heard of the limit or withheld a call
		notifiedAt clock.Millis // last notice to the VMs, by whichever of them
	}

	// recent counts this VM's calls to a server.
	recent struct {
		cells   [recentCells]int
		slowest [recentCells]clock.Millis // longest time that an answer took, plus one; zero: none came
		last    int64                     // number of the newest cell
	}
)

// Observe records what an answer says, which came at now to a call that was sent at
// sentAt. The notice is for the other VMs; nil: there is nothing to report. The change is
// nil if the limit is as before.
func (tr *Tracker) Observe(now, sentAt clock.Millis, server Server, ob Observation) (*Notice, *Change) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if rc := tr.recent[server.ID]; rc != nil {
		rc.noteAnswer(now, now-sentAt)
	}
	en := tr.limits[server.ID]
	active := en != nil && en.server == server && tr.holds(now, en)
	switch {
	case en != nil && server.Incarnation < en.server.Incarnation:
		return nil, nil // a late answer of an earlier run
	case !ob.Named && !(active && ob.Final && sentAt > en.at):
		return nil, nil // an answer to an earlier call may be older than the limit
	case ob.Named && active && en.rate == ob.Rate:
		en.at, en.deaf = now, 0
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
	if en != nil && nt.Server == en.server && nt.Rate == en.rate && !nt.Ended && !en.ended {
		en.notifiedAt = now // also if it repeats what is known
	}
	if en != nil && (nt.Server.Incarnation < en.server.Incarnation || nt.Server == en.server && at <= en.at) {
		return nil
	}
	next := &entry{server: nt.Server, rate: nt.Rate, ended: nt.Ended, at: at, notifiedAt: now}
	if !tr.holds(now, next) && !nt.Ended {
		return nil
	}
	return tr.set(now, next)
}

// set replaces the latest observation and returns what changed. The lock is held.
func (tr *Tracker) set(now clock.Millis, next *entry) *Change {
	en := tr.limits[next.server.ID]
	known := en != nil && tr.holds(now, en)
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

// holds reports whether a limit is in force. The server's silence says nothing while this VM
// withholds calls because of the limit, or does not run. A VM that had stopped for longer
// than the term would otherwise send all calls that wait there, without permits.
func (tr *Tracker) holds(now clock.Millis, en *entry) bool {
	return !en.ended && now < max(en.at, en.deniedAt)+en.deaf+tr.stoppedFor(now)+Term
}

// stoppedFor returns for how long this VM has not run since the last call of Lapse, with the
// time in which it then hears of limits; zero if it has run.
func (tr *Tracker) stoppedFor(now clock.Millis) clock.Millis {
	if gap := now - tr.checkedAt; tr.checkedAt > 0 && gap > maxCheckGap {
		return gap + repeatInterval
	}
	return 0
}

// Rate returns the limit of a server in calls per second, at least MinRate, or false if
// it has none.
func (tr *Tracker) Rate(now clock.Millis, id string) (float64, bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	en := tr.limits[id]
	if en == nil || !tr.holds(now, en) {
		return 0, false
	}
	return max(en.rate, MinRate), true
}

// InForce returns notices of the limits that are in force, for a VM that starts. It leaves out
// those that no answer has named for a term, since Receive drops such notices.
func (tr *Tracker) InForce(now clock.Millis) []Notice {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []Notice
	for _, en := range tr.limits {
		if tr.holds(now, en) && now < en.at+Term {
			out = append(out, Notice{Server: en.server, Rate: en.rate, Age: now - en.at})
		}
	}
	return out
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

// Deny records that this VM withholds a call because of a server's limit. The notice is for
// the other VMs; nil: there is nothing to report. A server that gets few calls can't repeat
// its limit, and a VM that starts or missed a notice would call it without permits.
func (tr *Tracker) Deny(now clock.Millis, id string) *Notice {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	en := tr.limits[id]
	if en == nil || !tr.holds(now, en) {
		return nil
	}
	en.deniedAt, en.deaf = now, 0
	if now < en.notifiedAt+withheldInterval || now >= en.at+Term {
		return nil
	}
	en.notifiedAt = now
	return &Notice{Server: en.server, Rate: en.rate, Age: now - en.at}
}

// Lapse drops limits that no longer hold, and those of runs that no longer exist. It
// returns those that lapsed because no answer named them, and reports whether any
// limit is in force. It is called regularly; a gap shows that this VM did not run.
func (tr *Tracker) Lapse(now clock.Millis, exists func(server Server) bool) (lapsed []Change, active bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	stopped := tr.stoppedFor(now)
	tr.checkedAt = now
	for id, en := range tr.limits {
		en.deaf += stopped
		switch {
		case tr.holds(now, en) && exists(en.server):
			active = true
			continue
		case !en.ended:
			lapsed = append(lapsed, Change{Server: en.server, Rate: en.rate, Ended: true, Before: en.rate, Known: true, Age: now - en.at})
		case now < en.at+Term:
			continue // a notice of an earlier answer, which is at most that old, would renew the limit
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

// RecentCalls returns the calls of this VM to a server in the last 1.05 to 1.2 s before the
// server can have begun to name its limit, at most 4.8 s. An answer that names it is as old as
// the call that it answers, so calls count for as much longer as the slowest answer took, or
// all of them if none has come: these are in flight.
func (tr *Tracker) RecentCalls(now clock.Millis, id string) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	rc := tr.recent[id]
	if rc == nil {
		return 0
	}
	rc.advance(now)
	slowest := slices.Max(rc.slowest[:])
	cells := int64(recentCells)
	if slowest > 0 {
		cells = min(recentCells, reportedCells+int64((slowest-1)/recentCell))
	}
	sum := 0
	for cell := rc.last - cells + 1; cell <= rc.last; cell++ {
		sum += rc.cells[(cell%recentCells+recentCells)%recentCells]
	}
	return sum
}

// noteAnswer records how long an answer took.
func (rc *recent) noteAnswer(now, took clock.Millis) {
	rc.advance(now)
	at := rc.last % recentCells
	rc.slowest[at] = max(rc.slowest[at], took+1)
}

// advance empties the cells since the last call.
func (rc *recent) advance(now clock.Millis) {
	cell := int64(now / recentCell)
	for ; rc.last < cell; rc.last++ {
		if cell-rc.last > recentCells {
			rc.last = cell - recentCells
		}
		next := (rc.last + 1) % recentCells
		rc.cells[next], rc.slowest[next] = 0, 0
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
