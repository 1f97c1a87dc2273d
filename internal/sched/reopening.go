package sched

import (
	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// reopening is the expected state of a closed cell when it takes work again.
type reopening struct {
	at       clock.Millis // earliest time at which each role has an open engine
	slots    int          // slots of decode engines at that time
	prefills int          // prefill engines at that time
}

// isClosed reports whether a role has no engine that takes work.
func (ce *Cell) isClosed() bool { return ce.slots == 0 || ce.prefills.Len() == 0 }

// reopens returns when the engines of a closed cell take work again. It reports false
// if a role has no engine that will.
func (ce *Cell) reopens(now clock.Millis) (reopening, bool) {
	first := make(map[board.Role]clock.Millis, 2)
	for _, eng := range ce.engines {
		ce.steps++
		if at, ok := eng.reopensAt(now); ok {
			if best, found := first[eng.role]; !found || at < best {
				first[eng.role] = at
			}
		}
	}
	if len(first) < 2 {
		return reopening{}, false
	}
	ro := reopening{at: max(first[board.Prefill], first[board.Decode])}
	for _, eng := range ce.engines {
		ce.steps++
		at, ok := eng.reopensAt(now)
		switch {
		case !ok || at > ro.at:
		case eng.role == board.Decode:
			ro.slots += eng.slots
		default:
			ro.prefills++
		}
	}
	return ro, true
}

// reopensAt returns the earliest time at which an engine takes work, and false if none
// is expected.
func (eng *engine) reopensAt(now clock.Millis) (clock.Millis, bool) {
	switch {
	case eng.delisted || eng.leaving:
		return 0, false
	case eng.open:
		return now, true
	case eng.closedUntil > 0:
		return max(now, eng.closedUntil), true // opened by the next report from then on
	default:
		return max(now, eng.opensAt), true
	}
}

// checkClosedAdmission refuses a request if a role has no engine that takes work again
// in time for the request's target.
func (ce *Cell) checkClosedAdmission(now clock.Millis, jb *job) (refusal.Refusal, bool) {
	ro, ok := ce.reopens(now)
	if !ok {
		return notRun(refusal.NoBackend, maxRetryAfter/12, "no engine of the cell takes work"), true
	}
	wait := float64(ro.at - now)
	if !jb.spec.Quick {
		wait += ce.patientWaitFor(now, jb.grp, ro.slots, ro.prefills)
	}
	if over := wait + jb.prefillMS + jb.linkMS - float64(jb.due-now); over > 0 {
		return notRun(refusal.NoBackend, max(ro.at-now, clock.Millis(over)), "no engine of the cell takes work in time"), true
	}
	return refusal.Refusal{}, false
}
