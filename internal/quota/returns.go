package quota

import (
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// DefaultReturnWithin is the longest time that a refused caller honours if it does not
	// say so. Callers with a deadline of 14 s honour a third of that.
	DefaultReturnWithin = 4600 * clock.Millis(1)
	// minReturnAfter is the shortest while other callers are to return or tokens are scarce,
	// for callers that honour it. A customer is then far beyond its limit, new requests use
	// all tokens, and a caller that returns soon takes those of a request that is not late
	// yet. Bursts last 4 to 5 s. With 2.3 s, 18 in 100 of the callers that return as told are
	// refused again in TestReturnsOfARefusedBurst, with 4 s 4 in 100.
	minReturnAfter = 4000 * clock.Millis(1)
	// returnMargin leaves a twentieth of the time that a caller honours for spreading
	// returns, if minReturnAfter is longer.
	returnMargin = 20
	// shortRequest is the time in which a customer's limit accrues the tokens of a
	// request that is told to return when its own tokens have accrued. Such a request
	// hardly delays the larger ones that wait for the same tokens.
	shortRequest = 50 * clock.Millis(1)
	// demandTime is the span over which the demand of new requests is observed. Bursts
	// begin and end within a few hundred milliseconds.
	demandTime = 500 * clock.Millis(1)
	// minHeldAfter is the shortest time after which tokens are kept for a caller. VMs tell
	// returning callers from new ones by the time that they have left, which differs by at
	// least 2.25 s; one that comes sooner counts as new, and would find its own tokens kept.
	minHeldAfter = 2300 * clock.Millis(1)
	// beforeReturn and afterReturn bound when a caller returns in time. Callers wait
	// exactly as long as they are told, so the span covers two network hops and the
	// delivery of the refusal.
	beforeReturn = 60 * clock.Millis(1)
	afterReturn  = 250 * clock.Millis(1)
	// maxReturns bounds the memory for one customer in one shard. More returns than this do
	// not fit into the time that callers honour.
	maxReturns = 256
)

type (
	// returnQueue holds the returns that are booked for the callers that a customer's
	// limit refused, spread over the tokens that will accrue. If all were told the time at
	// which the tokens of one request have accrued, they would return together and all but
	// one would be refused again. The zero value has none.
	returnQueue struct {
		list     []bookedReturn // by time
		demand   float64        // tokens that new requests were granted or refused, weighted by age
		demandAt clock.Millis   // when the weights were last updated
	}

	// bookedReturn is the return of one caller.
	bookedReturn struct {
		id     uint64 // of the refused request
		at     clock.Millis
		tokens float64 // of the request, which identify it when its caller returns
		left   float64 // of them, not granted yet
		held   bool    // tokens are kept for the caller
	}
)

// Short reports whether the caller of a refused request is told to return as soon as the
// request's own tokens have accrued, without a booking.
func (lim Limit) Short(tokens float64) bool {
	return accrualTime(tokens, lim.Rate) < float64(shortRequest)
}

// accrualTime returns the time in ms in which tokens accrue at a rate.
func accrualTime(tokens, rate float64) float64 { return tokens / rate * float64(clock.Second) }

// expire removes the returns whose time has passed.
func (rq *returnQueue) expire(now clock.Millis) {
	rq.list = slices.DeleteFunc(rq.list, func(br bookedReturn) bool { return br.at+afterReturn <= now })
}

// recordDemand records the tokens of a new request that was granted or refused.
func (rq *returnQueue) recordDemand(now clock.Millis, tokens float64) {
	rq.demand *= math.Exp(-float64(now-rq.demandAt) / float64(demandTime))
	rq.demand, rq.demandAt = rq.demand+tokens, now
}

// scarce reports whether new requests need more tokens than accrue, without one of the
// given size: a single large request says little. New requests then go first, because
// their answers are not late yet.
func (rq *returnQueue) scarce(now clock.Millis, tokens, rate float64) bool {
	rq.recordDemand(now, 0)
	return accrualTime(rq.demand-tokens, rate) > float64(demandTime)
}

// propose returns the time after which the caller of a request is to return: the earliest
// at which no other return needs the same tokens. If there are no others and tokens are not
// scarce, it is wait, after which the request's own tokens will have accrued. The result may
// be later than the caller honours.
func (rq *returnQueue) propose(now, wait, within clock.Millis, tokens, rate float64) clock.Millis {
	wait = min(wait, within)
	if len(rq.list) == 0 && !rq.scarce(now, tokens/Shards, rate) {
		return wait
	}
	at := now + max(min(minReturnAfter, within-within/returnMargin), wait)
	for _, br := range rq.list {
		if at+spacing(br.tokens, rate) <= br.at {
			break
		}
		at = max(at, br.at+spacing(tokens, rate))
	}
	return at - now
}

// spacing returns the time between the return before a request's and its own, in which its
// tokens accrue.
func spacing(tokens, rate float64) clock.Millis {
	return clock.Millis(math.Ceil(accrualTime(tokens, rate)))
}

// book books the return of a caller if there is a time that it honours; otherwise it returns
// the earliest later one. A second booking of the same request replaces the first.
func (rq *returnQueue) book(now, wait clock.Millis, req Request, rate float64) (after clock.Millis, booked bool) {
	known := len(rq.list)
	rq.list = slices.DeleteFunc(rq.list, func(br bookedReturn) bool { return br.id == req.Booking })
	within := req.honoured()
	after = rq.propose(now, wait, within, req.Whole, rate)
	if len(rq.list) == known {
		rq.recordDemand(now, req.Whole) // the other shard hears nothing of it
	}
	if after > within || len(rq.list) >= maxReturns {
		return after, false
	}
	at := now + after
	ix, _ := slices.BinarySearchFunc(rq.list, at, func(br bookedReturn, at clock.Millis) int { return int(br.at - at) })
	rq.list = slices.Insert(rq.list, ix, bookedReturn{id: req.Booking, at: at, tokens: req.Whole, left: req.Whole,
		held: req.ReturnWithin > 0 && after >= minHeldAfter})
	return after, true
}

// honoured returns the longest time after which the request's caller returns as told.
func (req Request) honoured() clock.Millis {
	if req.ReturnWithin > 0 {
		return req.ReturnWithin
	}
	return DefaultReturnWithin
}

// due returns the index of the booked return that a returning request is for; -1 if it has
// none, or is early or late.
func (rq *returnQueue) due(now clock.Millis, req Request) int {
	return slices.IndexFunc(rq.list, func(br bookedReturn) bool {
		return req.Returning && br.tokens == req.Whole && br.at-beforeReturn <= now && now < br.at+afterReturn
	})
}

// grant records that tokens were granted to the caller of a booked return, and ends the
// booking when all were. What is left is kept until its time has passed, because the other
// shard may deny its part.
func (rq *returnQueue) grant(ix int, tokens float64) {
	if rq.list[ix].left -= tokens; rq.list[ix].left <= 0 {
		rq.list = slices.Delete(rq.list, ix, ix+1)
	}
}

// reserved returns how many tokens must be left now so that the callers of booked returns
// find theirs at their times when a new request needs some: none while tokens are scarce.
func (rq *returnQueue) reserved(now clock.Millis, tokens, rate float64) float64 {
	if len(rq.list) == 0 || rq.scarce(now, tokens, rate) {
		return 0
	}
	most, sum := 0.0, 0.0
	for _, br := range rq.list {
		if br.held {
			sum += br.left
			most = max(most, sum-rate*float64(max(0, br.at-now))/float64(clock.Second))
		}
	}
	return most
}
