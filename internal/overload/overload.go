// Package overload decides which queries of other VMs a scheduler drops because their
// senders will have stopped waiting before the answer arrives.
//
// A VM handles queries in order of arrival. Once they arrive faster than they are handled,
// each waits in the queue for longer than its sender does, and all work is wasted. A query
// states when it was sent, by its sender's clock, and how long the sender waits. The clocks
// of two VMs have no common zero, so a query's delay is measured against the lowest delay
// that was seen from its sender; the excess is time in the queue.
//
// The lowest delay rises by [clockDrift] until a query confirms it, so that clocks of
// different rates don't make queries look late. It is forgotten when none confirms it for a
// while, when the sender restarts, and when all queries of a sender are late for longer
// than a queue lasts, as after a jump of its clock.
//
// If only late queries were dropped, each other query would be answered just before it is
// late, and after a while that delay would be the lowest that is remembered. When queries of
// several VMs are late, those that are in the queue then are therefore dropped too: the
// queries after them find an empty queue and are answered early, and confirm the lowest
// delay of their senders.
//
// # Usage
//
//	fi := &overload.Filter{}
//	if fi.Drop(now, overload.Query{VM: "vm-1", Incarnation: 7, SentAt: 1200, AnswerWithin: 30}) { return }
//	... // answer the query
//	fi.Handled(took)
//	if ch, ok := fi.Change(now); ok { ... } // dropping began or ended
//
// A Filter does no I/O and is not safe for concurrent use.
package overload

import "alderdyke/pkg/clock"

const (
	// clockDrift is the time in which two clocks may come to differ by a millisecond: their
	// rates differ by at most 2,000 parts per million, twice what two VMs that adjust their
	// clocks in opposite directions at the usual limit of 500 ppm come to.
	clockDrift = 500 * clock.Millis(1)
	// forgetAfter is how long a lowest delay is kept that no query confirms.
	forgetAfter = 5 * clock.Second
	// minQueries is the number of a sender's first query that may be dropped, so that one
	// unusual query is not taken for the rule.
	minQueries = 3
	// lateTerm is how long all queries of a sender may be late before its clock is taken to
	// have jumped, and maxLateGap the longest time between two of them. A sender that gets
	// no answer asks another VM for half a second.
	lateTerm, maxLateGap = 2 * clock.Second, clock.Second
	// travelTime is what the lowest delay leaves out: the way of a query and its answer.
	travelTime = 2 * clock.Millis(1)
	// clearTerm is how long the queue is cleared after its last late query, so that it is
	// empty then: dropping a query takes a fraction of an answer. With it, 92 % of what a
	// scheduler can handle is answered in time at twice that load; without it, 1 to 3 % of
	// the queries that are answered in a minute (TestSchedulerOverload in package fleet).
	clearTerm = 3 * clock.Millis(1)
	// spreadTerm is how close together queries of several VMs have to be late for the
	// queue to be cleared. Late queries of one VM alone may be due to its clock.
	spreadTerm = 100 * clock.Millis(1)
	// calmTerm is how long no query is dropped until dropping counts as ended.
	calmTerm = 2 * clock.Second
	// maxSenders limits the VMs that are kept after forgetAfter.
	maxSenders = 64
)

type (
	// Query is when and by whom a query was sent.
	Query struct {
		VM           string
		Incarnation  uint64
		SentAt       clock.Millis // of the sender's clock; zero: not stated
		AnswerWithin clock.Millis // that the sender waits; zero: not stated
	}

	// Filter decides which queries to drop. The zero value is ready to use.
	Filter struct {
		senders map[string]*sender
		took    clock.Millis // to answer a query; the highest of late

		lateAt     clock.Millis // when the last query was late
		lateVM     string       // that sent it; empty: none was late yet
		clearUntil clock.Millis // the queue is cleared until then

		current Change // since dropping began; the zero value if none are dropped
		began   clock.Millis
		dropped clock.Millis // when the last query was dropped
		changed bool         // and not reported yet
	}

	// Change is a begin or an end of dropping.
	Change struct {
		Dropping          bool
		Dropped, Answered int          // queries since dropping began
		For               clock.Millis // since then
	}

	// sender is what is known of a VM's clock. Fields in its own time end in Sent.
	sender struct {
		incarnation uint64
		queries     int          // since the lowest delay was forgotten
		lowest      clock.Millis // delay, with the difference of the clocks
		lowestSent  clock.Millis // when the query was sent that had it
		aboveSent   clock.Millis // when the first query after it was sent; zero: none was
		lateFrom    clock.Millis // since when all queries were late
		lateLast    clock.Millis
		late        bool
		seen        clock.Millis
	}
)

// Drop reports whether to drop a query, which is the next to be handled. It is never true
// for a query that does not state its time, or while little is known of its sender's clock.
func (fi *Filter) Drop(now clock.Millis, qy Query) bool {
	drop := qy.SentAt > 0 && qy.AnswerWithin > 0 && fi.drop(now, qy)
	switch {
	case drop && !fi.current.Dropping:
		fi.current, fi.began, fi.changed = Change{Dropping: true, Dropped: 1}, now, true
	case drop:
		fi.current.Dropped++
	case fi.current.Dropping:
		fi.current.Answered++
	}
	if drop {
		fi.dropped = now
	}
	return drop
}

func (fi *Filter) drop(now clock.Millis, qy Query) bool {
	se := fi.senderOf(now, qy)
	queued := se.observe(now, qy)
	if se.queries < minQueries {
		return false
	}
	late := queued+min(fi.took, qy.AnswerWithin/3)+min(travelTime, qy.AnswerWithin/3) >= qy.AnswerWithin
	if se.jumped(now, late) {
		*se = sender{incarnation: qy.Incarnation, lowest: now - qy.SentAt, lowestSent: qy.SentAt, queries: 1, seen: now}
		return false
	}
	if late {
		if fi.lateVM != "" && fi.lateVM != qy.VM && now-fi.lateAt < spreadTerm {
			fi.clearUntil = now + clearTerm
		}
		fi.lateAt, fi.lateVM = now, qy.VM
		return true
	}
	return now < fi.clearUntil
}

// Handled records how long the answer to a query took.
func (fi *Filter) Handled(took clock.Millis) { fi.took = max(took, fi.took*7/8) }

// Change returns a begin or an end of dropping that was not returned before.
func (fi *Filter) Change(now clock.Millis) (ch Change, ok bool) {
	if fi.changed {
		fi.changed = false
		return fi.current, true
	}
	if !fi.current.Dropping || now-fi.dropped < calmTerm {
		return Change{}, false
	}
	ch = fi.current
	ch.Dropping, ch.For = false, fi.dropped-fi.began
	fi.current = Change{}
	return ch, true
}

// Dropping reports whether an end of dropping is still to be returned by Change.
func (fi *Filter) Dropping() bool { return fi.current.Dropping }

// senderOf returns the sender of a query. It evicts senders that were not seen for a while.
func (fi *Filter) senderOf(now clock.Millis, qy Query) *sender {
	se := fi.senders[qy.VM]
	if se == nil {
		if fi.senders == nil {
			fi.senders = make(map[string]*sender)
		}
		if len(fi.senders) >= maxSenders {
			for vm, other := range fi.senders {
				if now-other.seen > clock.Minute {
					delete(fi.senders, vm)
				}
			}
		}
		se = &sender{}
		fi.senders[qy.VM] = se
	}
	se.seen = now
	return se
}

// observe adds a query to what is known of a clock, and returns how long it was queued.
func (se *sender) observe(now clock.Millis, qy Query) (queued clock.Millis) {
	delay := now - qy.SentAt
	switch {
	case se.queries == 0, se.incarnation != qy.Incarnation,
		se.aboveSent != 0 && qy.SentAt-se.aboveSent > forgetAfter,
		se.lowestSent-qy.SentAt > forgetAfter: // no queue holds a query for so long after a later one
		*se = sender{incarnation: qy.Incarnation, lowest: delay, lowestSent: qy.SentAt, seen: now}
	}
	se.queries++
	lowest := se.lowest + max(0, qy.SentAt-se.lowestSent)/clockDrift
	if delay <= lowest {
		se.lowest, se.lowestSent, se.aboveSent = delay, qy.SentAt, 0
		return 0
	}
	if se.aboveSent == 0 {
		se.aboveSent = qy.SentAt
	}
	return delay - lowest
}

// jumped adds whether a query was late, and reports whether the sender's clock must have
// jumped: all queries were late for a while, and no queue was left over from a pause of this
// VM, in which case they are handled at once.
func (se *sender) jumped(now clock.Millis, late bool) bool {
	if !late {
		se.late = false
		return false
	}
	if !se.late || now-se.lateLast > maxLateGap {
		se.late, se.lateFrom = true, now
	}
	se.lateLast = now
	return now-se.lateFrom >= lateTerm
}
