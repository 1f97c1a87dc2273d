package pool

import (
	"math"

	"alderdyke/internal/usage"
	"alderdyke/pkg/clock"
)

// Bound returns what keeps a request from a place. Where engines differ, it is what
// keeps it from the engine that is nearest to a place: an engine with room has only
// other requests ahead, one without its headroom is reserved, and otherwise memory or
// slots are wanting, whichever at more engines. An engine without room for the
// smallest request (a peak of math.MaxInt) accepts no work.
func (po *Pool) Bound(now clock.Millis, rq Requirements) usage.Bound {
	count := make(map[usage.Bound]int)
	for _, en := range po.healthy(now, rq.Version) {
		bound := rq.boundAt(now, en)
		if bound == usage.BoundTurn {
			return bound // the other engines make no difference
		}
		count[bound]++
	}
	for _, bound := range []usage.Bound{usage.BoundReserved, usage.BoundDeclined} {
		if count[bound] > 0 {
			return bound
		}
	}
	switch {
	case count[usage.BoundSlots] > count[usage.BoundMemory]:
		return usage.BoundSlots
	case count[usage.BoundMemory] > 0:
		return usage.BoundMemory
	default:
		return usage.BoundUnhealthy
	}
}

// boundAt returns what keeps a request from a place at one engine.
func (rq Requirements) boundAt(now clock.Millis, en *engine) usage.Bound {
	switch {
	case !rq.fits(en, 1):
		if !rq.fitsWithin(en, 1, math.MaxInt-1) {
			return usage.BoundUnhealthy
		}
		return usage.BoundMemory
	case !rq.mayHaveSlots(now, en, 1):
		return usage.BoundSlots
	case en.isFull(now, rq.Tokens):
		return usage.BoundDeclined
	case rq.Headroom > 0 && (!rq.mayHaveSlots(now, en, 1+rq.Headroom) || !rq.fits(en, 1+rq.Headroom)):
		return usage.BoundReserved
	default:
		return usage.BoundTurn
	}
}
